//! Maps endpoint responses to attempt outcomes.

use crate::gateway::endpoints::EndpointResponse;
use crate::{AttemptResult, LoadReport, Tokens};

/// The result of an attempt, derived from its response.
pub(super) struct ResponseOutcome {
    pub result: AttemptResult,
    pub reports: ResponseReports,
}

/// Reports that an endpoint attached to a response.
#[derive(Clone, Copy, Default)]
pub(super) struct ResponseReports {
    pub load_report: Option<LoadReport>,
    /// Actual cost of the request, in tokens.
    pub actual_cost: Option<Tokens>,
}

impl ResponseOutcome {
    /// Derives the outcome from a response. An actual cost that is not positive or exceeds `largest_cost`
    /// is impossible and is ignored.
    pub fn new(response: &EndpointResponse<'_>, largest_cost: Tokens) -> ResponseOutcome {
        match *response {
            EndpointResponse::Success {
                actual_cost,
                load_report,
                ..
            } => ResponseOutcome {
                result: AttemptResult::Success,
                reports: ResponseReports {
                    load_report,
                    actual_cost: actual_cost
                        .filter(|cost| *cost > Tokens::ZERO && *cost <= largest_cost),
                },
            },
            EndpointResponse::Overloaded { load_report } => {
                ResponseOutcome::without_cost(AttemptResult::Overloaded, load_report)
            }
            EndpointResponse::Failed { load_report } => {
                ResponseOutcome::without_cost(AttemptResult::Error, load_report)
            }
            EndpointResponse::UnknownError => {
                ResponseOutcome::without_cost(AttemptResult::Error, None)
            }
        }
    }

    fn without_cost(result: AttemptResult, load_report: Option<LoadReport>) -> ResponseOutcome {
        ResponseOutcome {
            result,
            reports: ResponseReports {
                load_report,
                actual_cost: None,
            },
        }
    }
}
