//! Tests of the errors that the adapter reports for invalid input.

use crate::support::*;

/// Input for which the adapter must exit with failure.
struct InvalidInput {
    case: &'static str,
    lines: Vec<String>,
    /// The expected beginning of the error message, after the program name.
    message: &'static str,
}

fn invalid(case: &'static str, lines: Vec<String>, message: &'static str) -> InvalidInput {
    InvalidInput {
        case,
        lines,
        message,
    }
}

fn malformed_frames() -> Vec<InvalidInput> {
    let without_classes = r#"{"kind":"Hello","GatekeeperId":"gatekeeper_0","Prng":1,"Conf":{"Balancers":1,"Classes":[]}}"#;
    vec![
        invalid(
            "not JSON",
            vec![begin_batch(1), "nonsense".into()],
            "line 2: cannot parse the frame: expected ident",
        ),
        invalid(
            "no kind",
            vec![r#"{"Clock":1}"#.into()],
            "line 1: cannot parse the frame: missing field `kind`",
        ),
        invalid(
            "an unknown kind",
            vec![begin_batch(1), r#"{"kind":"Sing"}"#.into()],
            "line 2: cannot parse the frame: unknown variant `Sing`",
        ),
        invalid(
            "a missing field",
            vec![r#"{"kind":"BeginBatch","n":1}"#.into()],
            "line 1: cannot parse the frame: missing field `Clock`",
        ),
        invalid(
            "a wrong type",
            vec![r#"{"kind":"BeginBatch","Clock":"noon","n":1}"#.into()],
            "line 1: cannot parse the frame: invalid type: string \"noon\"",
        ),
        invalid(
            "settings without classes",
            vec![begin_batch(1), without_classes.into()],
            "line 2: cannot start gatekeeper_0: settings: there is no request class",
        ),
    ]
}

fn frames_outside_their_batch() -> Vec<InvalidInput> {
    vec![
        invalid(
            "an end without a beginning",
            vec![end_batch()],
            "line 1: received a frame outside a batch",
        ),
        invalid(
            "an event outside a batch",
            vec![request(0, 1)],
            "line 1: received a frame outside a batch",
        ),
        invalid(
            "a batch in a batch",
            vec![begin_batch(1), begin_batch(2)],
            "line 2: a batch began before the previous batch ended",
        ),
        invalid(
            "the input ends inside a batch",
            vec![begin_batch(1)],
            "line 1: input ended inside a batch",
        ),
    ]
}

fn frames_for_missing_state() -> Vec<InvalidInput> {
    vec![
        invalid(
            "an instance that was never started",
            vec![begin_batch(1), request(3, 1)],
            "line 2: received a frame for gatekeeper_3, which is not running",
        ),
        invalid(
            "an instance that was stopped",
            vec![
                begin_batch(1),
                start_instance(0, SETTINGS),
                frame("Retire", 0, ""),
                String::new(),
                frame("Accepted", 0, ""),
            ],
            "line 5: received a frame for gatekeeper_0, which is not running",
        ),
        invalid(
            "a failed call of discovery for an instance that was never started",
            vec![begin_batch(1), endpoints_changed(4, "error")],
            "line 2: received a frame for gatekeeper_4, which is not running",
        ),
        invalid(
            "an endpoint list that was never sent",
            vec![
                begin_batch(1),
                start_instance(0, SETTINGS),
                endpoints_changed(0, "diff"),
            ],
            "line 3: unknown endpoint list 0",
        ),
    ]
}

#[test]
fn invalid_input_is_reported_in_one_line_with_its_line_number() {
    let inputs = [
        malformed_frames(),
        frames_outside_their_batch(),
        frames_for_missing_state(),
    ];
    for InvalidInput {
        case,
        lines,
        message,
    } in inputs.into_iter().flatten()
    {
        let run = run_adapter(&lines);
        assert!(!run.success, "{case}: expected a failure");
        assert_eq!(run.errors.lines().count(), 1, "{case}: {}", run.errors);
        let expected = format!("marlshelf-simulator-adapter: {message}");
        assert!(run.errors.starts_with(&expected), "{case}: {}", run.errors);
        assert!(run.output.is_empty(), "{case}: {}", run.output);
    }
}
