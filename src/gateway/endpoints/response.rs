//! Interprets an endpoint's response: a value or an error line, with an optional load report and actual cost.

use crate::gateway::resp::Reply;
use crate::{LoadReport, Tokens};

/// An endpoint's response, classified by its outcome.
pub(crate) enum EndpointResponse<'a> {
    /// The request was executed.
    Success {
        /// The complete bulk string of the value with its header and terminator, as forwarded to the client.
        value: &'a [u8],
        /// The actual cost as reported by the endpoint.
        actual_cost: Option<Tokens>,
        load_report: Option<LoadReport>,
    },
    /// The endpoint rejected the request without executing it.
    Overloaded { load_report: Option<LoadReport> },
    /// The request failed. The endpoint may have executed it.
    Failed { load_report: Option<LoadReport> },
    /// The error line is not part of the protocol. Both this line and the bytes that follow it may be
    /// corrupt.
    UnknownError,
}

impl<'a> EndpointResponse<'a> {
    /// Interprets a parsed reply. `bytes` is the buffer that the reply was parsed from.
    pub fn from_reply(reply: Reply, bytes: &'a [u8]) -> EndpointResponse<'a> {
        match reply {
            Reply::Served {
                value,
                used,
                report,
            } => EndpointResponse::Success {
                value: &bytes[value],
                actual_cost: used.and_then(|range| parse_actual_cost(&bytes[range])),
                load_report: report.and_then(|range| parse_load_report(&bytes[range])),
            },
            Reply::Error(range) => EndpointResponse::from_error_line(&bytes[range]),
        }
    }

    /// Interprets an error line without its leading `-` and line end. Only `BUSY`, alone or with one load
    /// report, guarantees that the request was not executed.
    fn from_error_line(line: &[u8]) -> EndpointResponse<'a> {
        let mut words = line.split(|byte| *byte == b' ');
        let first = words.next().unwrap_or_default();
        let last = words.next_back();
        let has_more_words = words.next().is_some();
        let load_report = last.and_then(parse_load_report);
        match first {
            b"BUSY" if last.is_none() => EndpointResponse::Overloaded { load_report: None },
            b"BUSY" if load_report.is_some() && !has_more_words => {
                EndpointResponse::Overloaded { load_report }
            }
            b"ERR" => EndpointResponse::Failed { load_report },
            _ => EndpointResponse::UnknownError,
        }
    }
}

/// Parses comma-separated `key=value` fields. A value that is not a finite, non-negative number becomes
/// `None`; text without a `=` is skipped.
fn parse_fields(text: &[u8]) -> impl Iterator<Item = (&str, Option<f64>)> {
    std::str::from_utf8(text)
        .unwrap_or_default()
        .split(',')
        .filter_map(|field| field.split_once('='))
        .map(|(key, value)| (key, parse_non_negative(value)))
}

fn parse_non_negative(text: &str) -> Option<f64> {
    text.parse()
        .ok()
        .filter(|number: &f64| number.is_finite() && *number >= 0.0)
}

/// Returns the value of the `cost` field among the usage fields of a response.
fn parse_actual_cost(text: &[u8]) -> Option<Tokens> {
    let (_, cost) = parse_fields(text).find(|(key, _)| *key == "cost")?;
    cost.map(Tokens)
}

/// Parses a load report. Returns `None` if it has no known field with a valid value.
fn parse_load_report(text: &[u8]) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for (key, value) in parse_fields(text) {
        match key {
            "inflight" => report.in_flight = value,
            "util" => report.utilization = value,
            "qps" => report.requests_per_second = value,
            _ => {}
        }
    }
    (report != LoadReport::default()).then_some(report)
}
