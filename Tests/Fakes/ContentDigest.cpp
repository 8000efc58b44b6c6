#include "Fakes/ContentDigest.h"

#include <Poco/SHA1Engine.h>

namespace auburnhub::test {

std::string contentDigest(std::string_view Bytes) {
  Poco::SHA1Engine Engine;
  Engine.update(Bytes.data(), Bytes.size());
  return Poco::DigestEngine::digestToHex(Engine.digest());
}

} // namespace auburnhub::test
