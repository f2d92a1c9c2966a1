#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"
#include "lavenderpick/Document/Document.h"
#include "lavenderpick/Document/DocumentCheck.h"

#include <cstdint>

using namespace Lavenderpick;

// A change or snapshot from a peer or the store must apply or give `Error`, and every check must
// return for whatever was applied.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    try {
        const nlohmann::json json =
                parseJson({ reinterpret_cast<const char *>(data), size }, "document");
        if (json.is_object() && json.contains("sections")) {
            checkDocument(Document::parse(json));
            return 0;
        }
        const Document document = Document().apply(DocumentChange::parse(json));
        checkDocument(document);
        document.objective();
    } catch (const Error &) {
        return 0;
    }
    return 0;
}
