#include "EntryFixture.h"
