// Short names for the structured log.
#pragma once

#include "log/log.h"
