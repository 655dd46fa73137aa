/// \file
/// \brief Broken answers, and the parts of the router that read answers, for tests of all of them.

#pragma once

#include "faulty_server.h"

#include <cctype>
#include <functional>
#include <string>
#include <vector>

namespace damaskward {
namespace testing {

/// A request body of this size is still being sent when an early answer arrives.
constexpr std::size_t uploadBytes = 6U << 20U;

/// A part of the router that reads answers.
struct answer_reader
{
    std::string name;
    std::string fields; ///< that its answers need, each with its line end
    std::string body; ///< that its answers need
    /// Makes one call to a server. \returns whether it accepted the answer
    std::function<bool(const std::string &address)> accepts;
};

/// \returns a status line with the fields that \a reader needs, without the empty line.
inline std::string headFor(const answer_reader &reader,
                           const std::string &statusLine = "HTTP/1.1 200 OK")
{
    return statusLine + "\r\n" + reader.fields;
}

/// \returns a valid answer with a length.
inline std::string validAnswer(const answer_reader &reader)
{
    return headFor(reader) + "Content-Length: " + std::to_string(reader.body.size()) + "\r\n\r\n"
        + reader.body;
}

/// A way to delimit the body of an answer.
struct body_framing
{
    std::string field; ///< with its line end
    std::function<std::string(const std::string &body)> encode;
    connection_end end; ///< of the connection, after the body
};

/// \returns \a body in one chunk with the fields \a trailer behind it.
inline std::string chunkedBody(const std::string &body, const std::string &trailer = {})
{
    static constexpr const char *digits = "0123456789abcdef";
    std::string size;
    for (std::size_t rest = body.size(); rest != 0; rest /= 16) {
        size.insert(size.begin(), digits[rest % 16]);
    }
    return size + "\r\n" + body + "\r\n0\r\n" + trailer + "\r\n";
}

/// \returns the ways to delimit a body of \a bytes: a length, chunks, the end of the connection.
inline std::vector<body_framing> framings(std::size_t bytes)
{
    const auto plain = [](const std::string &body) { return body; };
    const auto chunked = [](const std::string &body) { return chunkedBody(body); };
    return {{"Content-Length: " + std::to_string(bytes) + "\r\n", plain, connection_end::KeptOpen},
            {"Transfer-Encoding: chunked\r\n", chunked, connection_end::KeptOpen},
            {"", plain, connection_end::Finished}};
}

/// \returns status lines without a status from 100 to 599 that has three digits.
inline std::vector<std::string> invalidStatusLines()
{
    std::vector<std::string> lines;
    for (const char *status : {"000",  "001",   "099",   "600", "700", "999",  "20",   "2",
                               "2000", "20000", "0200",  "+20", "-20", "+200", "-200", " 200",
                               "2 0",  "20 ",   "\t200", "2e2", "0x1", "",     "65736"}) {
        lines.push_back("HTTP/1.1 " + std::string(status) + " OK");
    }
    return lines;
}

/// \returns lines that are no header field, since what precedes the colon is no token.
inline std::vector<std::string> malformedFieldLines()
{
    using namespace std::string_literals;
    std::vector<std::string> lines = {": 1",
                                      "No-Colon",
                                      "Content-Length : 3",
                                      "Content-Length\t: 3",
                                      "Content Length: 3",
                                      " Content-Length: 3",
                                      "\tContent-Length: 3",
                                      " Transfer-Encoding: chunked",
                                      " folded value",
                                      "\t"};
    for (const std::string &blank : {" "s, "\t"s, "\0"s, "\x01"s, "\x0b"s, "\x1f"s, "\x7f"s}) {
        lines.push_back("X" + blank + "Y: 1");
        lines.push_back("X" + blank + ": 1");
        lines.push_back(blank + "X: 1");
    }
    return lines;
}

/// \returns fields that name other transfer codings than `chunked` alone.
inline std::vector<std::string> unknownTransferCodings()
{
    std::vector<std::string> fields;
    for (const char *coding :
         {"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked", "chunked gzip", "chunkedx",
          "xchunked", "chunked;q=1", "identity", "identity, chunked", "x", ""}) {
        fields.push_back("Transfer-Encoding: " + std::string(coding) + "\r\n");
    }
    fields.emplace_back("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n");
    fields.emplace_back("Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n");
    return fields;
}

/// \returns answers of \a reader with invalid status lines and the body framed by \a framing.
inline std::vector<faulty_answer> invalidStatusAnswers(const answer_reader &reader,
                                                       const body_framing &framing)
{
    std::vector<faulty_answer> answers;
    const std::string rest = framing.field + "\r\n" + framing.encode(reader.body);
    for (const std::string &statusLine : invalidStatusLines()) {
        faulty_answer answer;
        answer.text = headFor(reader, statusLine).append(rest);
        answer.end = framing.end;
        answers.push_back(answer);
    }
    return answers;
}

/// \returns answers of \a reader in which \a line comes before, between and behind the other
/// fields, with every framing.
inline std::vector<faulty_answer> answersWithLine(const answer_reader &reader,
                                                  const std::string &line)
{
    std::vector<faulty_answer> answers;
    const std::string wrong = line + "\r\n";
    for (const body_framing &framing : framings(reader.body.size())) {
        const std::string known = reader.fields + framing.field;
        for (const std::string &fields :
             {wrong + known, reader.fields + "A: 1\r\n" + wrong + framing.field, known + wrong}) {
            faulty_answer answer;
            answer.text = "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + framing.encode(reader.body);
            answer.end = framing.end;
            answers.push_back(answer);
        }
    }
    return answers;
}

/// \returns a valid answer behind an interim one with \a fields, and one with \a fields as trailer.
inline std::vector<faulty_answer> answersWithOtherFields(const answer_reader &reader,
                                                         const std::string &fields)
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\n" + fields + "\r\n";
    const std::string head = headFor(reader) + "Transfer-Encoding: chunked\r\n\r\n";
    std::vector<faulty_answer> answers(2);
    answers[0].text = interim + validAnswer(reader);
    answers[1].text = head + chunkedBody(reader.body, fields);
    return answers;
}

/// \returns answers of \a reader with other transfer codings than `chunked` alone.
inline std::vector<faulty_answer> unknownCodingAnswers(const answer_reader &reader)
{
    std::vector<faulty_answer> answers;
    for (const std::string &fields : unknownTransferCodings()) {
        for (const std::string &body : {reader.body, chunkedBody(reader.body)}) {
            faulty_answer answer;
            answer.text = headFor(reader).append(fields).append("\r\n").append(body);
            answer.end = connection_end::Finished;
            answers.push_back(answer);
        }
    }
    return answers;
}

/// \returns whether \a reader accepts \a answer, which it must have asked for.
inline bool isAccepted(const answer_reader &reader, const faulty_answer &answer)
{
    faulty_server server([&answer](const std::string &) { return answer; });
    return reader.accepts(server.address()) && server.requestCount() > 0;
}

/// Lets readers read answers, and checks which of them they accept.
class answer_check
{
public:
    /// \param isValid whether the answers are to be accepted
    explicit answer_check(bool isValid)
        : m_isValid(isValid)
    { }

    void add(const answer_reader &reader, const faulty_answer &answer)
    {
        ++m_count;
        if (isAccepted(reader, answer) == m_isValid) {
            return;
        }
        if (++m_wrongCount <= maxShown) {
            m_wrong += "\n" + reader.name + ", connection_end "
                + std::to_string(static_cast<int>(answer.end)) + " after "
                + std::to_string(answer.endDelay.count()) + " ms, "
                + std::to_string(answer.readBytes) + " bytes read: " + visible(answer.text);
        }
    }

    void add(const answer_reader &reader, const std::vector<faulty_answer> &answers)
    {
        for (const faulty_answer &answer : answers) {
            add(reader, answer);
        }
    }

    /// \returns the answers for which that was wrong, or an empty text.
    std::string wrong() const
    {
        return m_wrongCount == 0 ? std::string()
                                 : std::to_string(m_wrongCount) + " of " + std::to_string(m_count)
                + (m_isValid ? " not accepted:" : " accepted:") + m_wrong;
    }

private:
    static constexpr int maxShown = 20;

    static std::string visible(const std::string &text)
    {
        std::string result;
        for (const char c : text) {
            const auto byte = static_cast<unsigned char>(c);
            result += std::isprint(byte) != 0 ? std::string(1, c)
                                              : "<" + std::to_string(static_cast<int>(byte)) + ">";
        }
        return result;
    }

    bool m_isValid;
    int m_count = 0;
    int m_wrongCount = 0;
    std::string m_wrong;
};

} // namespace testing
} // namespace damaskward
