//! What a response of an endpoint says: the value, or what its error line means, with the load report and the
//! actual cost that may come along.

use crate::gateway::resp::Reply;
use crate::{LoadReport, Tokens};

/// A response of an endpoint, by what it means to the gateway.
pub(crate) enum EndpointResponse<'a> {
    /// The request was executed.
    Success {
        /// The whole bulk string of the value, head and end included, as the client gets it.
        value: &'a [u8],
        /// The actual cost, as the endpoint states it.
        actual_cost: Option<Tokens>,
        load_report: Option<LoadReport>,
    },
    /// The endpoint rejected the request without executing it.
    Overloaded { load_report: Option<LoadReport> },
    /// The request failed, and may have been executed.
    Failed { load_report: Option<LoadReport> },
    /// An error line that no endpoint writes. It may be noise, and so may be what follows it.
    UnknownError,
}

impl<'a> EndpointResponse<'a> {
    /// Interprets a parsed reply; `bytes` is what it was parsed from.
    pub fn read(reply: Reply, bytes: &'a [u8]) -> EndpointResponse<'a> {
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
            Reply::Error(range) => EndpointResponse::read_error_line(&bytes[range]),
        }
    }

    /// Interprets an error line, without its sign and end. Only `BUSY`, alone or with one load report, promises
    /// that the request was not executed.
    fn read_error_line(line: &[u8]) -> EndpointResponse<'a> {
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

/// Reads comma-separated `key=value` fields. A value that is no finite number from 0 up becomes `None`, and what
/// is no field at all is skipped.
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

/// Reads the actual cost from the usage fields of a response.
fn parse_actual_cost(text: &[u8]) -> Option<Tokens> {
    let (_, cost) = parse_fields(text).find(|(key, _)| *key == "cost")?;
    cost.map(Tokens)
}

/// Reads a load report; `None` if the text reports nothing that is known.
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
