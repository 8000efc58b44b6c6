#ifndef AUBURNHUB_FAKES_CONTENTDIGEST_H
#define AUBURNHUB_FAKES_CONTENTDIGEST_H

#include <string>
#include <string_view>

namespace auburnhub::test {

/// Returns the SHA-1 of the bytes in hexadecimal. Journals and histories name
/// task bodies and results by it.
std::string contentDigest(std::string_view Bytes);

} // namespace auburnhub::test

#endif
