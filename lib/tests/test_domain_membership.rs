//! Liveness of upstreams, and refusal of announcements.

#![expect(
    clippy::expect_used,
    reason = "a fixture that cannot be set up ends its test"
)]

use std::{
    net::SocketAddr,
    time::Duration, //
};

use cicadabend::{
    chart::UpstreamState,
    domain::{
        membership::{
            AnnouncementRefusal,
            Source,
            Upstreams, //
        },
        parameters::DomainTiming,
    },
    prelude::*,
    upstream_api::{
        Announcement,
        EngineState,
        LoadReport,
        UpstreamKind, //
    },
};
use rstest::rstest;

const DIRECT: Source = Source::Direct { made_after: None };

fn vm() -> VmId {
    "vm-1".parse().expect("a valid name")
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn upstreams() -> Upstreams {
    let timing = DomainTiming {
        leader_lease: Duration::from_secs(2),
        heartbeat: Duration::from_millis(400),
        clock_rate_error: Percent(5),
        settle: Duration::from_millis(1_500),
        upstream_lease: Duration::from_secs(2),
        announce_interval: Duration::from_millis(500),
    };
    Upstreams::new("cumbaya".parse().expect("a valid name"), timing)
}

fn announcement(boot: u64, sequence: u64, port: u16) -> Announcement {
    Announcement {
        vm: vm(),
        boot: BootId(boot),
        sequence,
        address: address(port),
        failure_domain: "cumbaya".parse().expect("a valid name"),
        fabric_domain: "cumbaya-a".parse().expect("a valid name"),
        kind: UpstreamKind::Engine(EngineState::default()),
        leaving: false,
        slots: Slots(4),
        load: LoadReport::default(),
        cache_events: Vec::new(),
    }
}

/// An upstream stops to announce itself. New requests stay away after two missing
/// announcements, and its repair starts only when its lease has ended.
#[rstest]
#[case::in_time(600, UpstreamState::Alive)]
#[case::one_missing(1_200, UpstreamState::Alive)]
#[case::two_missing(1_300, UpstreamState::Suspect)]
#[case::lease_over(2_000, UpstreamState::Dead)]
fn a_silent_upstream_is_suspect_before_it_is_dead(
    #[case] silent_ms: u64,
    #[case] state: UpstreamState,
) {
    let mut upstreams = upstreams();
    upstreams
        .handle_announcement(announcement(1, 1, 1), DIRECT, Timestamp(0))
        .expect("it counts");

    assert_eq!(upstreams.state(&vm(), Timestamp(silent_ms)), state);
}

/// The daemon is suspended for a minute and has received no announcement in that time. On
/// resuming, it must not declare the upstreams dead. The old announcement must not be used for
/// routing either, since the VM may have been moved meanwhile.
#[test]
fn a_suspension_of_this_process_makes_no_upstream_dead() {
    let mut upstreams = upstreams();
    let source = Source::Direct {
        made_after: Some(Timestamp(0)),
    };
    upstreams
        .handle_announcement(announcement(1, 1, 1), source, Timestamp(0))
        .expect("it counts");

    upstreams.credit_pause(Duration::from_secs(60));

    let woken = Timestamp(60_100);
    assert_eq!(upstreams.state(&vm(), woken), UpstreamState::Alive);
    assert!(
        upstreams
            .current_upstream(&vm(), Some(Timestamp(0)), woken)
            .is_none()
    );
    assert_eq!(
        upstreams.state(&vm(), Timestamp(62_100)),
        UpstreamState::Dead
    );
}

/// Two processes announce one name. All daemons refuse the same one, that with the lower boot
/// number, and name both addresses. Once the lease of the higher one has ended, the lower one
/// is accepted.
#[test]
fn of_two_processes_with_one_name_the_lower_boot_number_is_refused() {
    let mut upstreams = upstreams();
    upstreams
        .handle_announcement(announcement(7, 1, 1), DIRECT, Timestamp(0))
        .expect("it counts");

    let lower = upstreams.handle_announcement(announcement(5, 9, 2), DIRECT, Timestamp(100));
    let higher = upstreams.handle_announcement(announcement(8, 1, 3), DIRECT, Timestamp(200));
    let later = upstreams.handle_announcement(announcement(5, 10, 2), DIRECT, Timestamp(9_000));

    let refusal = AnnouncementRefusal::TwoVmsOneId {
        vm: vm(),
        kept: address(1),
        refused: address(2),
    };
    assert_eq!(lower, Err(refusal));
    assert_eq!(higher, Ok(true));
    assert_eq!(later, Ok(true));
}

/// A running VM was copied, so two processes have the same name and boot number. Neither is
/// used until one of them has been silent for a lease.
#[test]
fn two_copies_of_one_process_are_both_out_of_use() {
    let mut upstreams = upstreams();
    upstreams
        .handle_announcement(announcement(7, 1, 1), DIRECT, Timestamp(0))
        .expect("it counts");
    upstreams
        .handle_announcement(announcement(7, 2, 2), DIRECT, Timestamp(100))
        .expect("a new address");

    let back = upstreams.handle_announcement(announcement(7, 3, 1), DIRECT, Timestamp(200));

    assert!(matches!(back, Err(AnnouncementRefusal::TwoVmsOneId { .. })));
    assert_eq!(
        upstreams.state(&vm(), Timestamp(300)),
        UpstreamState::Conflict
    );
    assert!(
        upstreams
            .current_upstream(&vm(), Some(Timestamp(0)), Timestamp(300))
            .is_none()
    );
    upstreams
        .handle_announcement(announcement(7, 4, 2), DIRECT, Timestamp(2_100))
        .expect("it counts");
    assert_eq!(
        upstreams.state(&vm(), Timestamp(2_300)),
        UpstreamState::Alive
    );
}

/// An announcement arrives twice, or after a newer one. The older address must not come into
/// use again.
#[rstest]
#[case::doubled(2)]
#[case::overtaken(1)]
fn an_old_announcement_changes_nothing(#[case] sequence: u64) {
    let mut upstreams = upstreams();
    upstreams
        .handle_announcement(announcement(1, 2, 2), DIRECT, Timestamp(0))
        .expect("it counts");

    let outcome =
        upstreams.handle_announcement(announcement(1, sequence, 1), DIRECT, Timestamp(100));

    assert_eq!(outcome, Err(AnnouncementRefusal::Outdated { vm: vm() }));
    let known = upstreams.get(&vm()).expect("it is known");
    assert_eq!(known.announcement.address, address(2));
}

/// An announcement arrives first by relay, then from the upstream itself. Without a routing
/// lease, only the one from the upstream itself may be used for routing.
#[test]
fn a_direct_announcement_counts_after_its_relayed_copy() {
    let mut upstreams = upstreams();
    let direct = Source::Direct {
        made_after: Some(Timestamp(50)),
    };
    upstreams
        .handle_announcement(announcement(1, 1, 1), Source::Relayed, Timestamp(100))
        .expect("it counts");
    let relayed = upstreams
        .current_upstream(&vm(), None, Timestamp(100))
        .is_some();

    upstreams
        .handle_announcement(announcement(1, 1, 1), direct, Timestamp(110))
        .expect("it counts");

    assert!(!relayed);
    assert!(
        upstreams
            .current_upstream(&vm(), None, Timestamp(120))
            .is_some()
    );
    assert!(
        upstreams
            .current_upstream(&vm(), None, Timestamp(2_050))
            .is_none()
    );
}
