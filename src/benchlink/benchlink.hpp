// Translates the bench's wire into calls of anisewick::Control and its actions back. Decides nothing.
#ifndef ANISEWICK_BENCHLINK_HPP_
#define ANISEWICK_BENCHLINK_HPP_

#include <iosfwd>

namespace anisewick::benchlink {

// Reads batches until the end of `in`. Returns 0, or 1 after a malformed line, which `err` then names.
int serve(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace anisewick::benchlink

#endif  // ANISEWICK_BENCHLINK_HPP_
