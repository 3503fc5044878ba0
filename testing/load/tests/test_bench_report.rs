//! Reports of the benchmarks, and what they read from the operating system.

use std::{
    collections::HashSet,
    fs,
    io::{
        Read,
        Write, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
};

use cicadabend_load::bench::{
    plot::{
        Line,
        Plot, //
    },
    process_stats::{
        Listeners,
        look,
        usage, //
    },
    quantile,
    report::{
        Report,
        Table,
        write, //
    },
};

fn report(violations: Vec<String>) -> Report {
    let mut table = Table::new("Some figures", &["name", "ms"]);
    table.rows.push(vec!["p50".to_owned(), "1.5".to_owned()]);
    Report {
        part: "part",
        about: "About it.".to_owned(),
        json: serde_json::json!({ "p50_ms": 1.5 }),
        tables: vec![table],
        plots: vec![Plot {
            title: "A plot".to_owned(),
            x: "x".to_owned(),
            y: "y".to_owned(),
            lines: vec![Line {
                name: "a line".to_owned(),
                points: vec![(1.0, 2.0), (2.0, 4.0)],
            }],
        }],
        violations,
    }
}

#[test]
fn a_report_is_json_markdown_and_svg() {
    let folder = tempfile::tempdir().unwrap();

    let text = write(folder.path(), &report(Vec::new()), "some machine").unwrap();

    assert!(text.contains("| p50 | 1.5 |"), "{text}");
    assert!(text.contains("None was found"), "{text}");
    let json = fs::read_to_string(folder.path().join("part.json")).unwrap();
    assert!(json.contains("p50_ms"));
    let svg = fs::read_to_string(folder.path().join("part-0.svg")).unwrap();
    assert!(svg.starts_with("<svg") && svg.contains("A plot"));
}

#[test]
fn violations_are_listed() {
    let folder = tempfile::tempdir().unwrap();
    let listed = vec!["r-1 ran twice".to_owned()];

    let text = write(folder.path(), &report(listed), "some machine").unwrap();

    assert!(text.contains("- r-1 ran twice"), "{text}");
    assert!(!text.contains("None was found"), "{text}");
}

#[test]
fn bytes_of_a_connection_are_counted_for_its_listener() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut sender = TcpStream::connect(address).unwrap();
    let (mut receiver, _) = listener.accept().unwrap();
    let listeners = Listeners {
        peers: HashSet::from([address]),
        announcements: None,
    };
    let before = look(std::process::id());

    sender.write_all(&[7; 100_000]).unwrap();
    receiver.read_exact(&mut vec![0; 100_000]).unwrap();
    let usage = usage(&before, &look(std::process::id()), &listeners);

    // Both ends are this process, so each byte is sent and received by it.
    let bytes = usage.peers.both() * usage.elapsed_s;
    let has_ss = std::process::Command::new("ss").arg("-V").output().is_ok();
    if has_ss {
        assert!((bytes - 200_000.0).abs() < 1.0, "{usage:?}");
    }
    assert!(usage.resident_mib > 0.0, "{usage:?}");
    assert!(usage.core_percent > 0.0, "{usage:?}");
}

#[test]
fn quantiles_are_values_that_were_measured() {
    let sorted = [1.0, 2.0, 3.0, 4.0, 5.0];

    assert_eq!(quantile(&sorted, 0.0), 1.0);
    assert_eq!(quantile(&sorted, 0.5), 3.0);
    assert_eq!(quantile(&sorted, 1.0), 5.0);
    assert_eq!(quantile(&[], 0.5), 0.0);
}
