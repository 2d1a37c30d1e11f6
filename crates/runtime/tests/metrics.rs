//! Tests of the exported metrics.

use greengage_cluster::scheduler::Reason;
use greengage_runtime::format_refusals;

/// Guards against the name of a queue that breaks the text of all metrics.
#[test]
fn names_of_queues_are_escaped() {
    let mut counts = [0; Reason::ALL.len()];
    counts[Reason::Backlog as usize] = 3;
    let text = format_refusals(&[("a\"b\n\\".into(), counts)]);
    let line = r#"greengage_refusals_total{queue="a\"b\n\\",reason="backlog"} 3"#;
    assert_eq!(text.lines().nth(1), Some(line));
    assert_eq!(text.lines().count(), 2);
}

/// Guards against counts under the label of another reason.
#[test]
fn reasons_are_listed_in_their_order() {
    for (i, reason) in Reason::ALL.into_iter().enumerate() {
        assert_eq!(reason as usize, i, "{}", reason.label());
    }
}
