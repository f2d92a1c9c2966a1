#include "Services/Entry/EntrySettings.h"
#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Settings/SettingsReader.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

const std::string complete = "name: entry-1\n"
                             "listen: { host: 127.0.0.1, port: 21000, datagram_port: 21001 }\n"
                             "region: north\n"
                             "availability_zone: north-a\n"
                             "cluster: { key: 0123456789abcdef }\n"
                             "platform: { address: '127.0.0.1:21900' }\n";

} // namespace

// Guards against a minimal file that is refused, or defaults that differ from the design page.
BOOST_AUTO_TEST_CASE(minimal_settings_get_the_defaults)
{
    const auto reader = SettingsReader::fromText(complete, "entry.yaml");
    const EntrySettings settings = EntrySettings::parse(reader.root());
    reader.finish();
    BOOST_TEST(settings.address() == "127.0.0.1:21000");
    BOOST_TEST(settings.subsetSize == 48);
    BOOST_TEST((settings.periods == EntryPeriods {}));
    BOOST_TEST((settings.caps.streamSilence == Seconds(3)));
}

// Guards against a cluster key that can be guessed and against a misspelt key.
BOOST_AUTO_TEST_CASE(short_cluster_key_and_unknown_keys_are_refused)
{
    std::string text = complete;
    text.replace(text.find("0123456789abcdef"), 16, "short");
    const auto reader = SettingsReader::fromText(text + "perriods: {}\n", "entry.yaml");
    EntrySettings::parse(reader.root());
    BOOST_CHECK_EXCEPTION(reader.finish(), Error, [](const Error &error) {
        const std::string message = error.what();
        return message.find("entry.yaml:5") != std::string::npos
                && message.find("perriods") != std::string::npos;
    });
}
