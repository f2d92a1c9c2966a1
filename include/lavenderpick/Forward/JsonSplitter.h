#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace Lavenderpick {

/// Cuts the text of a JSON object into the elements of its top-level arrays and its long top-level
/// strings, without parsing them, so that a large text can be processed in pieces.
///
/// The scan tracks only strings, escapes and brackets. It rejects text whose outer structure it
/// can't follow; the text is valid JSON if each piece and `remainder` are. Parsing a configuration
/// of 0.4 MB at once takes an event loop with a tenth of a core longer than a stream may pause.
class JsonSplitter
{
public:
    struct Piece
    {
        std::string_view member;  ///< Name of the top-level field; escapes are decoded.
        std::string_view text;    ///< JSON text of the element or string.
        bool isElement { false }; ///< Of an array; otherwise the string that is the field's value.
    };

    enum class Result {
        Piece,    ///< `piece` is the next one.
        Paused,   ///< The limit was reached; call `next` again.
        Finished, ///< The text has ended.
    };

    /// Strings of at least this size are pieces; shorter ones belong to the remainder.
    static constexpr std::size_t longStringBytes = 1'024;

    /// `text` must stay in memory and in place as long as the splitter is used.
    explicit JsonSplitter(std::string_view text);

    /// Continues the scan for at most about `maximumBytes`. Throws `Error` of kind InvalidMessage.
    Result next(std::size_t maximumBytes = std::string_view::npos);

    /// Valid until the next call of `next`.
    const Piece &piece() const { return m_piece; }

    /// The text without its pieces: arrays are empty, and long strings too. Complete when the scan
    /// has finished.
    const std::string &remainder() const { return m_remainder; }

private:
    enum class State {
        ObjectStart,
        FirstName, ///< A name or the end of the object.
        Name,
        Colon,
        Value,
        AfterValue,
        FirstElement, ///< An element or the end of the array.
        Element,
        AfterElement,
        End,
    };

    void readToken();
    void beginValue(State state);
    void finishArray();
    /// Continues the current value up to `end`. Returns whether it is complete.
    bool scanValue(std::size_t end);
    /// Returns whether the string has ended.
    bool scanString(std::size_t end);
    /// Returns whether the value is a piece.
    bool finishValue();
    /// Takes the text before `position` that no piece contains into the remainder.
    void keepUntil(std::size_t position);

    std::string_view m_text;
    std::size_t m_position { 0 };
    std::size_t m_keptUntil { 0 };
    std::size_t m_valueStart { 0 };
    std::size_t m_depth { 0 }; ///< Brackets of the current value that are open.
    State m_state { State::ObjectStart };
    bool m_inValue { false };
    bool m_inString { false };
    bool m_escaped { false }; ///< The next byte of the string follows a backslash.
    std::string m_member;
    std::string m_remainder;
    Piece m_piece;
};

/// The string whose JSON text, with its quotes, is `text`. Throws `Error` of kind InvalidMessage if
/// an escape is invalid.
std::string decodeJsonString(std::string_view text);

} // namespace Lavenderpick
