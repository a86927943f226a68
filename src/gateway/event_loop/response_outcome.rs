//! What a response of an endpoint means for the attempt that it ends.

use crate::gateway::endpoints::EndpointResponse;
use crate::{AttemptResult, LoadReport, Tokens};

/// The outcome that a response gives its attempt.
pub(super) struct ResponseOutcome {
    pub result: AttemptResult,
    pub reports: ResponseReports,
}

/// What an endpoint reported together with a response.
#[derive(Clone, Copy, Default)]
pub(super) struct ResponseReports {
    pub load_report: Option<LoadReport>,
    /// The actual cost of the request.
    pub actual_cost: Option<Tokens>,
}

impl ResponseOutcome {
    /// Interprets a response. An actual cost that no request can have, because it is above `largest_cost`, is ignored.
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
