// Our own settings files: protobuf text format, read with every finding in one pass.
#ifndef ANISEWICK_SETTINGS_SETTINGS_HPP_
#define ANISEWICK_SETTINGS_SETTINGS_HPP_

#include <google/protobuf/message.h>
#include <google/protobuf/text_format.h>

#include <cstdint>
#include <string>
#include <vector>

namespace anisewick::settings {

constexpr std::size_t kMostBytes = 1 << 20;  // of a settings file

struct Finding {
  std::string file;
  int line = 0;      // from 1; 0: of the file as a whole
  std::string what;  // what is wrong, and what to write
  std::string text() const;
};

// One file being read: the message, where its fields stand, and what was found wrong with them.
class Reader {
 public:
  explicit Reader(std::string file) : file_(std::move(file)) {}

  // False: it cannot be read or is not the text of such a message; findings say why.
  bool load(google::protobuf::Message& message);
  // The same, of a text.
  bool parse(const std::string& text, google::protobuf::Message& message);

  using Tree = google::protobuf::TextFormat::ParseInfoTree;
  const Tree& tree() const { return tree_; }
  // Where a field of the message that `tree` belongs to stands; 0: nowhere, it has its default.
  static int line_of(const Tree* tree, const google::protobuf::Message& in, const char* field,
                     int index = -1);
  // The tree of a message within; nullptr: it is left out.
  static const Tree* within(const Tree* tree, const google::protobuf::Message& in, const char* field,
                            int index = -1);
  void find(int line, std::string what) { findings_.push_back({file_, line, std::move(what)}); }

  // Checks every number of `in` (not of messages within it) against [least, most] for the named field.
  void range(const Tree* tree, const google::protobuf::Message& in, const char* field, std::uint64_t least,
             std::uint64_t most, const char* unit);

  const std::vector<Finding>& findings() const { return findings_; }

 private:
  std::string file_;
  Tree tree_;
  std::vector<Finding> findings_;
};

}  // namespace anisewick::settings

#endif  // ANISEWICK_SETTINGS_SETTINGS_HPP_
