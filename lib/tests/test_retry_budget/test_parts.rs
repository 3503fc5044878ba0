//! The parts of the budget at one daemon.

use std::time::Duration;

use cicadabend::{
    prelude::*,
    retry_budget::{
        BudgetSettings,
        EqualPart,
        OwnPart,
        RoutedRetryReason, //
    },
};

const SETTINGS: BudgetSettings = BudgetSettings {
    ratio: 0.2,
    slack: 90,
    window: Duration::from_secs(10),
};
const BROKEN: RoutedRetryReason = RoutedRetryReason::Broken;

/// Returns a part that has counted a request every 20 ms until `until_ms`.
fn own_part(until_ms: u64) -> OwnPart {
    let mut own = OwnPart::new(SETTINGS);
    for ms in (0..until_ms).step_by(20) {
        own.record_request(Timestamp(ms));
    }
    own
}

fn withdraw_all(own: &mut OwnPart, reason: RoutedRetryReason, at: Timestamp) -> u32 {
    let mut withdrawn = 0;
    while own.withdraw(reason, at) {
        withdrawn += 1;
    }
    withdrawn
}

#[test]
fn a_process_that_has_just_started_uses_half_of_what_its_requests_pay_for() {
    let mut own = own_part(1_000);

    assert_eq!(withdraw_all(&mut own, BROKEN, Timestamp(1_000)), 5);
}

#[test]
fn retries_older_than_the_window_no_longer_count() {
    let mut own = own_part(10_000);
    let at_once = withdraw_all(&mut own, BROKEN, Timestamp(10_000));
    for _ in 0..at_once {
        own.settle(BROKEN, true, Timestamp(10_000));
    }

    assert_eq!(withdraw_all(&mut own, BROKEN, Timestamp(19_990)), 0);
    assert!(withdraw_all(&mut own, BROKEN, Timestamp(20_250)) == 0);
    for ms in (10_000..20_250).step_by(20) {
        own.record_request(Timestamp(ms));
    }
    assert!(withdraw_all(&mut own, BROKEN, Timestamp(20_250)) > 0);
}

#[test]
fn a_retry_counts_until_a_window_after_its_arrival() {
    // Guards against retries that arrive late and so count in a window that no longer has them.
    let mut own = own_part(10_000);
    let pending = withdraw_all(&mut own, BROKEN, Timestamp(10_000));
    for ms in (10_000..21_000).step_by(20) {
        own.record_request(Timestamp(ms));
    }

    let while_pending = withdraw_all(&mut own, BROKEN, Timestamp(21_000));
    for _ in 0..pending {
        own.settle(BROKEN, true, Timestamp(21_000));
    }
    let after_arrival = withdraw_all(&mut own, BROKEN, Timestamp(21_000));

    assert!(pending > 0);
    assert_eq!(while_pending + after_arrival, 0);
}

#[test]
fn a_retry_that_was_not_sent_is_left_for_another_request() {
    let mut own = own_part(10_000);
    let withdrawn = withdraw_all(&mut own, BROKEN, Timestamp(10_000));

    for _ in 0..withdrawn {
        own.settle(BROKEN, false, Timestamp(10_000));
    }

    assert_eq!(withdraw_all(&mut own, BROKEN, Timestamp(10_000)), withdrawn);
}

/// Returns a part that a thousand requests of this moment pay for with half of their ratio.
fn busy_part() -> OwnPart {
    let mut own = OwnPart::new(SETTINGS);
    (0..1_000).for_each(|_| own.record_request(Timestamp(0)));
    own
}

/// Guards against a burst of late requests that uses up the retries for broken ones.
#[test]
fn broken_requests_have_retries_left_after_those_of_late_and_not_run_ones() {
    let mut own = busy_part();

    let late = withdraw_all(&mut own, RoutedRetryReason::Late, Timestamp(0));
    let not_run = withdraw_all(&mut own, RoutedRetryReason::NotRun, Timestamp(0));
    let broken = withdraw_all(&mut own, BROKEN, Timestamp(0));

    assert_eq!((late, not_run, broken), (25, 65, 10));
    assert_eq!(own.retries_left(Timestamp(0)), 0);
}

/// Guards against retries of late requests while broken requests use up the budget.
#[test]
fn late_requests_get_no_retry_once_half_of_the_budget_is_used() {
    let mut own = busy_part();
    for _ in 0..50 {
        assert!(own.withdraw(BROKEN, Timestamp(0)));
    }

    assert!(!own.withdraw(RoutedRetryReason::Late, Timestamp(0)));
    assert!(own.withdraw(RoutedRetryReason::NotRun, Timestamp(0)));
}

#[test]
fn an_equal_part_accrues_from_zero_once_the_number_of_daemons_is_known() {
    // Guards against restarts that refill the part, and against a guess before control's first word.
    let mut equal = EqualPart::new(SETTINGS);

    let before_word = equal.withdraw(Timestamp(60_000));
    equal.set_daemons(9, Timestamp(60_000));
    let at_start = equal.withdraw(Timestamp(60_000));
    let later = equal.withdraw(Timestamp(90_000));
    let again = equal.withdraw(Timestamp(90_000));

    assert_eq!(
        [before_word, at_start, later, again],
        [false, false, true, false]
    );
}

#[test]
fn an_equal_part_of_less_than_one_retry_is_not_used() {
    // Guards against 520 daemons that each save up one retry and send all of them in one window.
    let mut equal = EqualPart::new(SETTINGS);
    equal.set_daemons(520, Timestamp(0));

    assert!(!equal.withdraw(Timestamp(10_000_000)));
}
