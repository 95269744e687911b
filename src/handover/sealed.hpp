// Bytes that a process leaves for another: one line for what they are, with their length and a checksum, then
// the body, one line a value. No I/O.
#ifndef ANISEWICK_HANDOVER_SEALED_HPP_
#define ANISEWICK_HANDOVER_SEALED_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anisewick::handover {

std::string sealed(std::string_view what, int version, std::string_view name, std::string_view body);
// The body; none: `why` says in a few words what is wrong. `name` is that of the doorman that reads.
std::optional<std::string_view> opened(std::string_view bytes, std::string_view what, int version,
                                       std::string_view name, std::string& why);

std::vector<std::string_view> words_of(std::string_view line);
// Takes the next line off `bytes`.
std::string_view next_line(std::string_view& bytes);
std::string hex(std::uint64_t n);

}  // namespace anisewick::handover

#endif  // ANISEWICK_HANDOVER_SEALED_HPP_
