//! The words of notes between gateways: items of text, nothing decided here.

use crate::state::{QuotaDecision, QuotaRequest};

/// One item of a note, about the customer with this key.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum GossipMessage {
    /// To a keeper: may this be sent on, and so much demand there was.
    RequestQuota {
        plan: usize,
        ask: QuotaRequest,
        weight: f64,
    },
    /// To a keeper: units to charge, or below nothing to give back, and the place given back.
    SettleUsage {
        plan: usize,
        units: f64,
        place: Option<u64>,
    },
    /// To a keeper: units that went on unasked, as nothing was heard of it, and the last question of them.
    ReportUnconfirmedUsage {
        plan: usize,
        number: u64,
        units: f64,
    },
    /// To a keeper: this place is still in use.
    RenewPermit { plan: usize, place: u64 },
    /// From a keeper: its word on a question, the units granted, and demand, grants and store.
    QuotaDecision {
        number: u64,
        word: QuotaDecision,
        units: f64,
        demand: f64,
        granted: f64,
        level: f64,
    },
}

/// The part of a key that its customer's name gives.
const NAME: u64 = (1 << 40) - 1;

/// A customer's key in notes: 40 bits of FNV-1a, and its plan above them. Each of its plans is an account of its
/// own: what is asked on one, by mistake or by somebody else in its name, must not rule what it gets on another.
pub(crate) fn tenant_key(name: &str, plan: usize) -> u64 {
    let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325u64, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)
    });
    (hash ^ (hash >> 40)) & NAME | (plan as u64) << 40
}

/// Which of its set, counted from the first, keeps all accounts of a customer.
pub(crate) fn quota_owner(key: u64, spread: u32) -> u32 {
    ((key & NAME) % u64::from(spread)) as u32
}

impl GossipMessage {
    /// The item as text. The time a question is good for goes along in place of its end.
    pub(crate) fn encode(&self, key: u64, now: f64) -> String {
        match *self {
            GossipMessage::RequestQuota {
                plan,
                ask:
                    QuotaRequest {
                        number,
                        units,
                        extra,
                        shared,
                        until,
                        ..
                    },
                weight,
            } => {
                let kind = if shared { 'p' } else { 'a' };
                let most = until - now;
                format!(
                    "{kind},{key:x},{plan},{number:x},{units:.1},{extra:.1},{weight:.1},{most:.0};"
                )
            }
            GossipMessage::SettleUsage { plan, units, place } => {
                let place = place.map_or(String::new(), |k| format!("{k:x}"));
                format!("t,{key:x},{plan},{place},{units:.1};")
            }
            GossipMessage::ReportUnconfirmedUsage {
                plan,
                number,
                units,
            } => format!("u,{key:x},{plan},{number:x},{units:.1};"),
            GossipMessage::RenewPermit { plan, place } => format!("k,{key:x},{plan},{place:x};"),
            GossipMessage::QuotaDecision {
                number,
                word,
                units,
                demand,
                granted,
                level,
            } => {
                let code = word as u8;
                format!(
                    "g,{key:x},{code},{number:x},{units:.1},{demand:.1},{granted:.1},{level:.1};"
                )
            }
        }
    }

    /// The item that a text holds, if it is one.
    pub(crate) fn decode(text: &str, from: u32, now: f64) -> Option<(u64, GossipMessage)> {
        let parts: Vec<&str> = text.split(',').collect();
        let hex = |k: usize| parts.get(k).and_then(|x| u64::from_str_radix(x, 16).ok());
        let number = |k: usize| parts.get(k)?.parse::<f64>().ok().filter(|x| x.abs() < 1e9);
        let least = |k: usize| number(k).filter(|x| *x >= 0.0);
        let (key, code) = (hex(1)?, parts.get(2)?.parse::<usize>().ok()?);
        let item = match parts[0] {
            kind @ ("a" | "p") => {
                let (units, extra, until) = (least(4)?, least(5)?, now + least(7)?);
                let ask = QuotaRequest {
                    from,
                    number: hex(3)?,
                    units,
                    extra,
                    shared: kind == "p",
                    until,
                };
                GossipMessage::RequestQuota {
                    plan: code,
                    ask,
                    weight: least(6)?,
                }
            }
            "t" => GossipMessage::SettleUsage {
                plan: code,
                units: number(4)?,
                place: hex(3),
            },
            "u" => GossipMessage::ReportUnconfirmedUsage {
                plan: code,
                number: hex(3)?,
                units: least(4)?,
            },
            "k" => GossipMessage::RenewPermit {
                plan: code,
                place: hex(3)?,
            },
            "g" => GossipMessage::QuotaDecision {
                number: hex(3)?,
                word: [
                    QuotaDecision::Deny,
                    QuotaDecision::Grant,
                    QuotaDecision::Queue,
                ]
                .get(code)
                .copied()?,
                units: least(4)?,
                demand: least(5)?,
                granted: least(6)?,
                level: number(7)?,
            },
            _ => return None,
        };
        Some((key, item))
    }
}
