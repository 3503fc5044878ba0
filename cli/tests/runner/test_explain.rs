//! One request's story out of the daemons' logs.

use std::fs;

use crate::support::run;

/// Writes one line of a daemon's log.
fn line(second: u32, code: &str, fields: &str) -> String {
    format!(
        r#"{{"time":"2026-01-01T10:00:{second:02}.000Z","code":"{code}","text":"text","fields":{{{fields}}}}}"#
    )
}

#[test]
fn a_request_to_a_leaving_upstream_is_explained_by_what_came_long_before() {
    // A caller gets a failure from an upstream that had said that it leaves. What decided it
    // lies more than ten seconds back: the entry daemon listened to one control daemon, which
    // had stopped hearing the one that was told.
    let folder = tempfile::tempdir().unwrap();
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
    let (entry_log, control_log) = (folder.path().join("entry"), folder.path().join("control"));
    fs::write(&entry_log, entry.join("\n")).unwrap();
    fs::write(&control_log, control.join("\n")).unwrap();

    let told = run(&[
        "explain",
        "r-1",
        entry_log.to_str().unwrap(),
        control_log.to_str().unwrap(),
    ]);

    let codes: Vec<&str> = told
        .stdout
        .split_whitespace()
        .filter(|word| word.starts_with("CB"))
        .collect();
    assert_eq!(codes, ["CB1405", "CB1406", "CB1601", "CB1603", "CB1420"]);
}

#[test]
fn a_quarantined_request_is_explained_by_the_crashes_under_others_like_it() {
    // A caller is refused, and its request reached no upstream. What decided it are requests
    // with other ids, minutes before and at other entry daemons.
    let folder = tempfile::tempdir().unwrap();
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
    let (other_log, entry_log) = (folder.path().join("other"), folder.path().join("entry"));
    fs::write(&other_log, other.join("\n")).unwrap();
    fs::write(&entry_log, entry.join("\n")).unwrap();

    let told = run(&[
        "explain",
        "r-9",
        other_log.to_str().unwrap(),
        entry_log.to_str().unwrap(),
    ]);

    let codes: Vec<&str> = told
        .stdout
        .split_whitespace()
        .filter(|word| word.starts_with("CB"))
        .collect();
    assert_eq!(codes, ["CB1430", "CB1430", "CB1430", "CB1431", "CB1421"]);
}
