// Parsers of the sections of a document. Each checks types and ranges of single fields.
#pragma once

#include "details/reader.h"

namespace balsambay::inventory::details {

void ReadFormat(object_reader& root);
void ReadZones(object_reader& root, configuration& config);
void ReadVms(object_reader& root, configuration& config);
void ReadModels(object_reader& root, configuration& config);
void ReadEndpoints(object_reader& root, configuration& config);
void ReadServices(object_reader& root, configuration& config);
void ReadWorkspaces(object_reader& root, configuration& config);
void ReadLinks(object_reader& root, configuration& config);
void ReadRules(object_reader& root, configuration& config);

}  // namespace balsambay::inventory::details
