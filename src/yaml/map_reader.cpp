#include "yaml/map_reader.h"

#include "yaml/scalars.h"

#include <fmt/format.h>
#include <sstream>
#include <yaml-cpp/eventhandler.h>

namespace medlarway
{

namespace
{

constexpr int kMaxDocumentsParsed = 2;

// Counts documents and detects aliases in the event stream of the parser, without building nodes.
class DocumentCounter : public YAML::EventHandler
{
public:
    int documents = 0;
    bool hasAlias = false;

    void OnDocumentStart(const YAML::Mark & /*mark*/) override
    {
        ++documents;
    }
    void OnAlias(const YAML::Mark & /*mark*/, YAML::anchor_t /*anchor*/) override
    {
        hasAlias = true;
    }
    void OnDocumentEnd() override { }
    void OnNull(const YAML::Mark & /*mark*/, YAML::anchor_t /*anchor*/) override { }
    void OnScalar(const YAML::Mark & /*mark*/, const std::string & /*tag*/, YAML::anchor_t /*anchor*/,
                  const std::string & /*value*/) override
    {
    }
    void OnSequenceStart(const YAML::Mark & /*mark*/, const std::string & /*tag*/, YAML::anchor_t /*anchor*/,
                         YAML::EmitterStyle::value /*style*/) override
    {
    }
    void OnSequenceEnd() override { }
    void OnMapStart(const YAML::Mark & /*mark*/, const std::string & /*tag*/, YAML::anchor_t /*anchor*/,
                    YAML::EmitterStyle::value /*style*/) override
    {
    }
    void OnMapEnd() override { }
};

// YAML::LoadAll never returns for some malformed texts. This parses no more documents than are needed to see that
// there is more than one.
DocumentCounter countDocuments(const std::string &text)
{
    std::istringstream stream(text);
    YAML::Parser parser(stream);
    DocumentCounter counter;
    for (int document = 0; document < kMaxDocumentsParsed && parser.HandleNextDocument(counter); ++document) {
    }
    return counter;
}

} // namespace

std::optional<YAML::Node> readDocument(std::string_view text, Faults &faults)
{
    try {
        const std::string copy(text);
        const auto counter = countDocuments(copy);
        if (counter.documents != 1) {
            faults.push_back({{1, 1}, "must hold exactly one YAML document"});
        } else if (counter.hasAlias) {
            // A node that contains itself through an alias would be a reference cycle and never be freed.
            faults.push_back({{1, 1}, "must not use aliases (*name)"});
        } else {
            return YAML::Load(copy);
        }
    } catch (const YAML::Exception &exception) {
        const auto hasPosition = !exception.mark.is_null();
        const auto position = hasPosition ? Position{exception.mark.line + 1, exception.mark.column + 1} : Position{};
        faults.push_back({position, "is not valid YAML: " + exception.msg});
    }
    return std::nullopt;
}

Position positionOf(const YAML::Node &node)
{
    const auto mark = node.Mark();
    return mark.is_null() ? Position{} : Position{mark.line + 1, mark.column + 1};
}

MapReader::MapReader(const YAML::Node &node, std::string section, Faults &faults)
    : section_(std::move(section))
    , position_(positionOf(node))
    , faults_(&faults)
{
    if (!node.IsMap()) {
        faults_->push_back({position_, section_ + " must be a map of keys and values"});
        return;
    }
    for (const auto &entry : node) {
        if (!entry.first.IsScalar()) {
            faults_->push_back({positionOf(entry.first), section_ + ": a key must be a word"});
            continue;
        }
        const auto &key = entry.first.Scalar();
        const auto [existing, added] = fields_.emplace(key, Field{entry.second, positionOf(entry.first)});
        if (!added) {
            const auto &first = existing->second.keyPosition;
            const auto text = fmt::format("{}: key '{}' is given twice, first at {}:{}", section_, key, first.line, first.column);
            faults_->push_back({positionOf(entry.first), text});
        }
    }
}

MapReader::Field *MapReader::find(std::string_view key)
{
    const auto found = fields_.find(key);
    if (found == fields_.end()) {
        return nullptr;
    }
    found->second.requested = true;
    return &found->second;
}

Position MapReader::position(std::string_view key) const
{
    const auto found = fields_.find(key);
    if (found == fields_.end()) {
        return position_;
    }
    const auto value = positionOf(found->second.value);
    return value.line == 0 ? found->second.keyPosition : value;
}

MapReader &MapReader::addError(std::string_view key, const std::string &text)
{
    faults_->push_back({position(key), fmt::format("{}: '{}' {}", section_, key, text)});
    return *this;
}

MapReader &MapReader::require(std::string_view key)
{
    return find(key) == nullptr ? addError(key, "is missing") : *this;
}

bool MapReader::readScalar(std::string_view key, std::string &target)
{
    const auto *field = find(key);
    if (field == nullptr) {
        return false;
    }
    if (!field->value.IsScalar()) {
        addError(key, "must be a single value");
        return false;
    }
    target = field->value.Scalar();
    return true;
}

MapReader &MapReader::text(std::string_view key, std::string &target)
{
    readScalar(key, target);
    return *this;
}

MapReader &MapReader::flag(std::string_view key, bool &target)
{
    return choice<bool>(key, target, {{"true", true}, {"false", false}});
}

MapReader &MapReader::endpoint(std::string_view key, Endpoint &target)
{
    std::string word;
    if (!readScalar(key, word)) {
        return *this;
    }
    const auto parsed = parseEndpoint(word);
    if (!parsed || parsed->port == 0) {
        return addError(key, "must be an IPv4 address and a port from 1 to 65535, like 10.0.0.1:8080");
    }
    target = *parsed;
    return *this;
}

MapReader &MapReader::address(std::string_view key, std::uint32_t &target)
{
    std::string word;
    if (!readScalar(key, word)) {
        return *this;
    }
    const auto parsed = parseAddress(word);
    if (!parsed) {
        return addError(key, "must be an IPv4 address, like 10.0.0.1");
    }
    target = *parsed;
    return *this;
}

MapReader &MapReader::number(std::string_view key, std::uint32_t &target, Range<std::uint32_t> range)
{
    std::string word;
    if (!readScalar(key, word)) {
        return *this;
    }
    const auto parsed = parseNumber(word);
    if (!parsed || *parsed < range.min || *parsed > range.max) {
        return addError(key, fmt::format("must be a whole number from {} to {}", range.min, range.max));
    }
    target = static_cast<std::uint32_t>(*parsed);
    return *this;
}

MapReader &MapReader::byteCount(std::string_view key, std::uint64_t &target, Range<std::uint64_t> range)
{
    std::string word;
    if (!readScalar(key, word)) {
        return *this;
    }
    const auto parsed = parseByteCount(word);
    if (!parsed || *parsed < range.min || *parsed > range.max) {
        return addError(key, fmt::format("must be a number of bytes from {} to {}, like 64KiB or 16MiB", range.min, range.max));
    }
    target = *parsed;
    return *this;
}

MapReader &MapReader::duration(std::string_view key, Duration &target, Range<Duration> range)
{
    std::string word;
    if (!readScalar(key, word)) {
        return *this;
    }
    const auto parsed = parseDuration(word);
    if (!parsed || *parsed < range.min || *parsed > range.max) {
        const auto min = durationToString(range.min);
        return addError(key, fmt::format("must be a duration from {} to {}, like 500ms, 30s or 5m", min, durationToString(range.max)));
    }
    target = *parsed;
    return *this;
}

std::optional<YAML::Node> MapReader::node(std::string_view key)
{
    const auto *field = find(key);
    return field == nullptr ? std::nullopt : std::optional(field->value);
}

std::vector<YAML::Node> MapReader::list(std::string_view key, std::size_t maxEntries)
{
    const auto *field = find(key);
    if (field == nullptr) {
        return {};
    }
    if (!field->value.IsSequence()) {
        addError(key, "must be a list");
        return {};
    }
    if (field->value.size() > maxEntries) {
        addError(key, fmt::format("has {} entries, at most {} are allowed", field->value.size(), maxEntries));
        return {};
    }
    return {field->value.begin(), field->value.end()};
}

void MapReader::rejectUnknownKeys()
{
    for (const auto &[key, field] : fields_) {
        if (!field.requested) {
            faults_->push_back({field.keyPosition, fmt::format("{}: key '{}' is not known", section_, key)});
        }
    }
}

} // namespace medlarway
