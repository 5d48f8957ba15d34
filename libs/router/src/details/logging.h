// The structured log.
#pragma once

#include "log/log.h"
