//! `explain`: the log lines that concern one request.

use std::fs;

use crate::support::run;

/// Returns one line of a daemon's log.
fn line(second: u32, code: &str, fields: &str) -> String {
    format!(
        r#"{{"time":"2026-01-01T10:00:{second:02}.000Z","code":"{code}","text":"text","fields":{{{fields}}}}}"#
    )
}

/// Returns the codes of the lines that `explain` shows for a request, in order.
fn explained_codes(request: &str, logs: &[&[String]]) -> Vec<String> {
    let folder = tempfile::tempdir().unwrap();
    let paths = (0..logs.len()).map(|number| folder.path().join(format!("{number}.log")));
    let paths: Vec<String> = paths
        .map(|path| path.to_str().unwrap().to_owned())
        .collect();
    for (path, lines) in paths.iter().zip(logs) {
        fs::write(path, lines.join("\n")).unwrap();
    }
    let mut arguments = vec!["explain", request];
    arguments.extend(paths.iter().map(String::as_str));

    let seen = run(&arguments);

    let words = seen.stdout.split_whitespace();
    let codes = words.filter(|word| word.starts_with("CB"));
    codes.map(str::to_owned).collect()
}

#[test]
fn a_request_to_a_leaving_upstream_is_explained_by_earlier_events() {
    // A request fails at an upstream that had announced that it leaves. The cause is more than
    // ten seconds older: the entry daemon got updates from one control daemon only, and that one
    // had lost contact with the control daemon to which the upstream announced it.
    let entry = [
        line(1, "CB1405", r#""daemon":"10.1.0.20""#),
        line(2, "CB1406", r#""instance":"u-1","change":"usable""#),
        line(3, "CB1406", r#""instance":"u-2","change":"usable""#),
        line(40, "CB1420", r#""request":"r-1","replica":"u-1""#),
    ];
    let control = [
        line(20, "CB1601", r#""daemon":"10.2.0.20""#),
        line(38, "CB1603", r#""instance":"u-1","state":"Draining""#),
    ];
    let codes = explained_codes("r-1", &[&entry, &control]);

    assert_eq!(codes, ["CB1405", "CB1406", "CB1601", "CB1603", "CB1420"]);
}

#[test]
fn a_quarantined_request_is_explained_by_crashes_under_requests_with_its_fingerprint() {
    // A request is refused without reaching an upstream. The cause are requests with other ids
    // but the same fingerprint, earlier and at other entry daemons.
    let fingerprint = r#""fingerprint":"00ff""#;
    let suspected = |second, request| {
        let fields = format!(r#""request":"{request}",{fingerprint},"instance":"u-{second}""#);
        line(second, "CB1430", &fields)
    };
    let other = [suspected(1, "r-1"), suspected(2, "r-2")];
    let entry = [
        suspected(3, "r-3"),
        line(4, "CB1430", r#""request":"r-8","fingerprint":"0000""#),
        line(50, "CB1431", &format!(r#""request":"r-9",{fingerprint}"#)),
        line(50, "CB1421", r#""request":"r-9","reason":"Quarantined""#),
    ];
    let codes = explained_codes("r-9", &[&other, &entry]);

    assert_eq!(codes, ["CB1430", "CB1430", "CB1430", "CB1431", "CB1421"]);
}
