//! Plays one case of the review: `cases NAME RECORD`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run.

mod common;
mod customer_forms;
mod half_commands;
mod log_reader;
mod slow_discovery;
mod wrong_lengths;

fn main() {
    let name = std::env::args().nth(1).unwrap_or_default();
    let path = std::env::args().nth(2).unwrap_or_else(|| "record.txt".into());
    common::open_record(&path);
    common::record(&format!("case {name}, with the disruption: {}", common::has_trouble()));
    let code = match name.as_str() {
        "customer-forms" => customer_forms::run(),
        "half-commands" => half_commands::run(),
        "log-reader" => log_reader::run(),
        "slow-discovery" => slow_discovery::run(),
        "wrong-lengths" => wrong_lengths::run(),
        _ => common::COULD_NOT_RUN,
    };
    common::say(match code {
        common::HELD => "the rule held",
        common::BROKEN => "the rule was broken",
        _ => "the case could not run",
    });
    std::process::exit(code);
}
