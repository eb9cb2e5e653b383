#ifndef MEDLARSTALL_CATALOGUE_RECORD_CODEC_HPP
#define MEDLARSTALL_CATALOGUE_RECORD_CODEC_HPP

#include <medlarstall/catalogue/change.hpp>
#include <medlarstall/support/result.hpp>

#include <nlohmann/json_fwd.hpp>

namespace medlarstall::catalogue {

/// Reads records of the catalogue log from their JSON form.
class record_reader
{
public:
    /// Reads a record and checks its digest.
    /// \param record JSON value of a log record
    /// \return the content of the record, or an error with the JSON path of the
    ///     invalid value
    [[nodiscard]] result<record_body> read(nlohmann::json const& record) const;

    /// Reads a change in the form in which operators send it, without kind and
    /// digest.
    /// \param object JSON form of a change
    /// \return the change, or an error with the JSON path of the invalid value
    [[nodiscard]] result<change>
    read_change(nlohmann::json const& object) const;
};

/// Writes records of the catalogue log in their JSON form.
class record_writer
{
public:
    /// \param body content of the record
    /// \return the record with its kind and digest, ready to be appended
    [[nodiscard]] nlohmann::json write(record_body const& body) const;

    /// \param value change to write
    /// \return JSON form of the change, without kind and digest
    [[nodiscard]] nlohmann::json write_change(change const& value) const;
};

} // namespace medlarstall::catalogue

#endif
