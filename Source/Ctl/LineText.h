#ifndef AUBURNHUB_SOURCE_CTL_LINETEXT_H
#define AUBURNHUB_SOURCE_CTL_LINETEXT_H

#include "auburnhub/Ctl/DecisionLine.h"

#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>

/// \file
/// Turns log lines into sentences.

namespace auburnhub {

/// A name and the text that stands for it.
using NamePair = std::pair<std::string_view, std::string_view>;

/// Returns the text of a name; empty if the table has none.
std::string_view lookUp(std::span<const NamePair> Table, std::string_view Name);

/// Replaces each {field} and notes the fields used. A missing field becomes
/// "(not logged)".
std::string fillSentence(std::string_view Sentence, const DecisionLine &Line,
                         std::set<std::string> &Used);

/// Returns the fields that say something beyond the sentence, in brackets.
std::string otherFields(const DecisionLine &Line, std::set<std::string> Used);

/// Returns the last line of an event; null if there is none.
const DecisionLine *lastOf(std::span<const DecisionLine> Lines,
                           std::string_view Event);

/// Returns a count with its noun in the singular or plural.
std::string counted(std::size_t Count, const std::string &Noun);

} // namespace auburnhub

#endif
