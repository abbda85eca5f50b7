#include "fighold/plan/csv.hpp"

#include <csv.h>

#include <memory>

namespace fighold::plan {
namespace {

struct Reader
{
  std::vector<CsvRow> mRows;
  CsvRow mCurrent{ 1, {} };
};

void
OnCell(void* aText, std::size_t aSize, void* aReader)
{
  auto* reader = static_cast<Reader*>(aReader);
  reader->mCurrent.mCells.emplace_back(static_cast<const char*>(aText), aSize);
}

void
OnRow(int /*aEnd*/, void* aReader)
{
  auto* reader = static_cast<Reader*>(aReader);
  const int next = reader->mCurrent.mNumber + 1;
  if (!reader->mCurrent.mCells.empty()) {
    reader->mRows.push_back(std::move(reader->mCurrent));
  }
  reader->mCurrent = CsvRow{ next, {} };
}

/// libcsv treats a carriage return as a row end of its own; with both, each CRLF row would count
/// twice.
std::string
WithoutCarriageReturns(std::string_view aText)
{
  std::string out;
  out.reserve(aText.size());
  for (const char c : aText) {
    if (c != '\r') {
      out += c;
    }
  }
  return out;
}

} // namespace

Checked<std::vector<CsvRow>>
ReadCsv(std::string_view aText, const std::string& aSource)
{
  const std::string text = WithoutCarriageReturns(aText);
  csv_parser parser{};
  if (csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI | CSV_REPALL_NL) != 0) {
    throw std::bad_alloc();
  }
  const std::unique_ptr<csv_parser, void (*)(csv_parser*)> guard(&parser, csv_free);
  Reader reader;
  const bool read =
    csv_parse(&parser, text.data(), text.size(), OnCell, OnRow, &reader) == text.size();
  if (!read || csv_fini(&parser, OnCell, OnRow, &reader) != 0) {
    const Finding finding{ Place{ aSource, reader.mCurrent.mNumber, 0 },
                           std::string("malformed CSV: ") + csv_strerror(csv_error(&parser)) };
    return { std::nullopt, { finding } };
  }
  return { std::move(reader.mRows), {} };
}

std::string
FormatCsvRow(const std::vector<std::string>& aCells)
{
  std::string out;
  for (std::size_t n = 0; n < aCells.size(); ++n) {
    out += n == 0 ? "" : ",";
    const bool plain = aCells[n].find_first_of(",\"\n") == std::string::npos;
    if (plain) {
      out += aCells[n];
      continue;
    }
    std::string quoted(2 * aCells[n].size() + 2, '\0');
    quoted.resize(csv_write(quoted.data(), quoted.size(), aCells[n].data(), aCells[n].size()));
    out += quoted;
  }
  return out;
}

} // namespace fighold::plan
