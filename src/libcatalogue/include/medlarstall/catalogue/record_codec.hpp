#ifndef MEDLARSTALL_CATALOGUE_RECORD_CODEC_HPP
#define MEDLARSTALL_CATALOGUE_RECORD_CODEC_HPP

#include <medlarstall/catalogue/change.hpp>
#include <medlarstall/support/result.hpp>

#include <nlohmann/json_fwd.hpp>

namespace medlarstall::catalogue {

/// Reads records of the catalogue's log from their JSON form.
class record_reader
{
public:
    /// Reads a record and checks its digest.
    /// \param record value of a log record
    /// \return the body, or an error with the path of the value at fault
    [[nodiscard]] result<record_body> read(nlohmann::json const& record) const;

    /// Reads a change as an operator sends it, without kind and digest.
    /// \param object JSON form of a change
    /// \return the change, or an error with the path of the value at fault
    [[nodiscard]] result<change>
    read_change(nlohmann::json const& object) const;
};

/// Writes records of the catalogue's log in their JSON form.
class record_writer
{
public:
    /// \param body what the record holds
    /// \return the record with its kind and digest, ready to be appended
    [[nodiscard]] nlohmann::json write(record_body const& body) const;

    /// \param value a change
    /// \return its JSON form without kind and digest
    [[nodiscard]] nlohmann::json write_change(change const& value) const;
};

} // namespace medlarstall::catalogue

#endif
