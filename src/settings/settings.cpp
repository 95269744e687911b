#include "settings/settings.hpp"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/io/tokenizer.h>
#include <google/protobuf/stubs/common.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>
#include <system_error>

namespace anisewick::settings {
namespace {

namespace pb = google::protobuf;

class Collector final : public pb::io::ErrorCollector {
 public:
  explicit Collector(Reader& reader) : reader_(reader) {}
  void AddError(int line, pb::io::ColumnNumber column, const std::string& message) override {
    reader_.find(line + 1, message + " (column " + std::to_string(column + 1) + ")");
  }

 private:
  Reader& reader_;
};

}  // namespace

std::string Finding::text() const {
  return file + (line > 0 ? ":" + std::to_string(line) : "") + ": " + what;
}

bool Reader::load(pb::Message& message) {
  std::ifstream in(file_, std::ios::binary);
  if (!in) {
    find(0, "cannot be read: " + std::generic_category().message(errno));
    return false;
  }
  std::string text(kMostBytes + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (in.bad()) {
    find(0, "cannot be read");
    return false;
  }
  text.resize(static_cast<std::size_t>(in.gcount()));
  return parse(text, message);
}

bool Reader::parse(const std::string& text, pb::Message& message) {
  if (text.size() > kMostBytes) {
    find(0, "is over 1 MB: that is no settings file");
    return false;
  }
  if (text.find_first_not_of(" \t\r\n") == std::string::npos) {
    find(0, "is empty: write at least what has no default");
    return false;
  }
  if (!pb::internal::IsStructurallyValidUTF8(text.data(), static_cast<int>(text.size()))) {
    find(0, "is not valid UTF-8");
    return false;
  }
  Collector collector(*this);
  pb::TextFormat::Parser parser;
  parser.RecordErrorsTo(&collector);
  parser.WriteLocationsTo(&tree_);
  parser.SetRecursionLimit(16);
  return parser.ParseFromString(text, &message);
}

int Reader::line_of(const Tree* tree, const pb::Message& in, const char* field, int index) {
  const pb::FieldDescriptor* f = in.GetDescriptor()->FindFieldByName(field);
  if (tree == nullptr || f == nullptr) return 0;
  // The library ends the process where it is asked for an element that is not there.
  if (f->is_repeated() && (index < 0 || index >= in.GetReflection()->FieldSize(in, f))) return 0;
  return tree->GetLocation(f, f->is_repeated() ? index : -1).line + 1;
}

const Reader::Tree* Reader::within(const Tree* tree, const pb::Message& in, const char* field, int index) {
  const pb::FieldDescriptor* f = in.GetDescriptor()->FindFieldByName(field);
  if (tree == nullptr || f == nullptr) return nullptr;
  if (f->is_repeated() && (index < 0 || index >= in.GetReflection()->FieldSize(in, f))) return nullptr;
  return tree->GetTreeForNested(f, f->is_repeated() ? index : -1);
}

void Reader::range(const Tree* tree, const pb::Message& in, const char* field, std::uint64_t least,
                   std::uint64_t most, const char* unit) {
  const pb::FieldDescriptor* f = in.GetDescriptor()->FindFieldByName(field);
  const pb::Reflection* r = in.GetReflection();
  std::int64_t value = 0;
  switch (f->cpp_type()) {
    case pb::FieldDescriptor::CPPTYPE_INT32:
      value = r->GetInt32(in, f);
      break;
    case pb::FieldDescriptor::CPPTYPE_INT64:
      value = r->GetInt64(in, f);
      break;
    case pb::FieldDescriptor::CPPTYPE_UINT32:
      value = r->GetUInt32(in, f);
      break;
    default:
      value = static_cast<std::int64_t>(std::min<std::uint64_t>(r->GetUInt64(in, f), INT64_MAX));
  }
  if (value >= 0 && static_cast<std::uint64_t>(value) >= least && static_cast<std::uint64_t>(value) <= most) {
    return;
  }
  find(line_of(tree, in, field), std::string(field) + " is " + std::to_string(value) + ": write " +
                                     std::to_string(least) + " to " + std::to_string(most) + " " + unit);
}

}  // namespace anisewick::settings
