// Whether an answer can be one to the request whose id it bears. A line that can be read may still have noise
// in a field. No I/O.
// Source: the platform's protocol page, "Doormans to depots"; STANDING, spoilt answers.
#ifndef ANISEWICK_DEPOT_ANSWER_CHECK_HPP_
#define ANISEWICK_DEPOT_ANSWER_CHECK_HPP_

#include <string>

#include "depot/depot.hpp"

namespace anisewick::depot {

// What a request told of itself, as far as answers repeat it.
struct RequestFacts {
  std::string seen;    // the tag of the asker's copy; empty: it named none
  int group = 0xffff;  // of the object; 0xffff: the asker does not know it
};

// False: the answer contradicts the request or itself, so that nothing of it can be believed, not even that
// nothing ran.
bool answers(const RequestFacts& request, const Answer& answer);

}  // namespace anisewick::depot

#endif  // ANISEWICK_DEPOT_ANSWER_CHECK_HPP_
