#include "daemon/version.h"
