//! Memory for the bodies of all requests that a daemon holds at once.

#![expect(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use cicadabend::{
    admission::{
        BodyMemory,
        BodyNumber,
        Granted,
        NoRoom,
        RoomChange,
        SMALL_BODY, //
    },
    prelude::*,
};
use proptest::prelude::*;

const SIZE: ByteCount = ByteCount(1024 * 1024);
/// The part for large bodies.
const LARGE: u64 = SIZE.0 / 4 * 3;
const NOW: Timestamp = Timestamp(10_000);
/// Long after [`NOW`], when every body has stalled.
const LATER: Timestamp = Timestamp(20_000);

fn begin(memory: &mut BodyMemory, length: u64, now: Timestamp) -> BodyNumber {
    let (number, granted) = memory.begin(ByteCount(length), now).unwrap();
    assert_eq!(granted, Granted::default());
    number
}

#[test]
fn bodies_get_room_until_it_is_used_up_and_again_once_one_is_released() {
    let mut memory = BodyMemory::new(SIZE);
    let first = begin(&mut memory, LARGE / 2, NOW);
    begin(&mut memory, LARGE / 2, NOW);

    let refused = memory.begin(ByteCount(LARGE / 2), NOW);
    memory.release(first);
    let admitted = memory.begin(ByteCount(LARGE / 2), NOW);

    assert_eq!(refused, Err(NoRoom));
    assert!(admitted.is_ok());
    assert_eq!(memory.used(), ByteCount(LARGE));
}

/// Guards against large bodies that leave ordinary requests without room.
#[test]
fn a_small_body_has_room_while_large_ones_use_all_of_theirs() {
    let mut memory = BodyMemory::new(SIZE);
    begin(&mut memory, LARGE, NOW);

    let small = memory.begin(SMALL_BODY, NOW);

    assert!(small.is_ok());
}

/// Guards against senders that stop short of their end and keep their room.
#[test]
fn a_body_takes_the_room_of_those_that_have_stalled_longest() {
    let mut memory = BodyMemory::new(SIZE);
    let oldest = begin(&mut memory, LARGE / 2, NOW);
    let second = begin(&mut memory, LARGE / 2, NOW);
    memory.record_received(oldest, ByteCount(LARGE / 2 - 1), Timestamp(19_000));

    let (_, granted) = memory.begin(ByteCount(LARGE / 2), LATER).unwrap();

    assert_eq!(granted.evicted, [second]);
    assert_eq!(memory.grow(second, ByteCount(LARGE), LATER), Err(NoRoom));
}

/// Guards against senders that add single bytes, so as not to count as stalled.
#[test]
fn single_bytes_are_no_progress() {
    let mut memory = BodyMemory::new(SIZE);
    let trickling = begin(&mut memory, LARGE, NOW);
    for number in 1..100 {
        let at = Timestamp(NOW.0 + number * 100);
        memory.record_received(trickling, ByteCount(number), at);
    }

    let (_, granted) = memory.begin(ByteCount(LARGE), LATER).unwrap();

    assert_eq!(granted.evicted, [trickling]);
}

/// Guards against bodies that are dropped while their requests run.
#[test]
fn complete_bodies_and_those_that_make_progress_keep_their_room() {
    let mut memory = BodyMemory::new(SIZE);
    let complete = begin(&mut memory, LARGE / 2, NOW);
    memory.complete(complete);
    let sending = begin(&mut memory, LARGE / 2, NOW);
    memory.record_received(sending, ByteCount(LARGE / 4), Timestamp(LATER.0 - 100));

    let refused = memory.begin(ByteCount(LARGE / 2), LATER);

    assert_eq!(refused, Err(NoRoom));
}

/// Guards against the eviction of bodies for one that gets no room all the same.
#[test]
fn nothing_is_evicted_if_that_is_not_enough() {
    let mut memory = BodyMemory::new(SIZE);
    let complete = begin(&mut memory, LARGE / 2, NOW);
    memory.complete(complete);
    let stalled = begin(&mut memory, LARGE / 4, NOW);

    let refused = memory.begin(ByteCount(LARGE), LATER);

    assert_eq!(refused, Err(NoRoom));
    assert!(memory.grow(stalled, ByteCount(LARGE / 2), LATER).is_ok());
}

/// Guards against a limit on one body that the configuration raises above the room.
#[test]
fn the_longest_body_has_room_alone_and_a_longer_one_has_none() {
    let mut memory = BodyMemory::new(SIZE);

    let longest_bytes = memory.longest_body().0;
    let longest = begin(&mut memory, longest_bytes, NOW);
    let beside = memory.begin(ByteCount(LARGE / 2), NOW);
    memory.release(longest);
    let too_long = memory.begin(ByteCount(longest_bytes + 1), NOW);

    assert_eq!(longest_bytes, LARGE);
    assert_eq!(beside, Err(NoRoom));
    assert_eq!(too_long, Err(NoRoom));
}

/// Guards against a log line for each body of a crowd.
#[test]
fn the_state_changes_once_when_room_is_lost_and_once_when_half_is_free_a_while_later() {
    let mut memory = BodyMemory::new(SIZE);
    let held = begin(&mut memory, LARGE, NOW);
    memory.complete(held);
    let mut changes = vec![memory.take_change(NOW)];

    for _ in 0..2 {
        memory.begin(ByteCount(LARGE), NOW).unwrap_err();
        changes.push(memory.take_change(NOW));
    }
    changes.push(memory.take_change(LATER));
    memory.release(held);
    changes.push(memory.take_change(NOW));
    for _ in 0..2 {
        changes.push(memory.take_change(LATER));
    }

    let (lost, regained) = (Some(RoomChange::Lost), Some(RoomChange::Regained));
    assert_eq!(changes, [None, lost, None, None, None, regained, None]);
}

/// One step of a random sequence.
#[derive(Clone, Debug)]
enum Step {
    Begin { length: u64 },
    Grow { index: usize, length: u64 },
    Receive { index: usize, received: u64 },
    Complete { index: usize },
    Release { index: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let length = 0..SIZE.0 * 3;
    let index = 0_usize..20;
    prop_oneof![
        length.clone().prop_map(|length| Step::Begin { length }),
        (0..2 * SMALL_BODY.0).prop_map(|length| Step::Begin { length }),
        (index.clone(), length.clone()).prop_map(|(index, length)| Step::Grow { index, length }),
        (index.clone(), length).prop_map(|(index, received)| Step::Receive { index, received }),
        index.clone().prop_map(|index| Step::Complete { index }),
        index.prop_map(|index| Step::Release { index }),
    ]
}

proptest! {
    /// Guards against any order of events by which bodies have more room than there is, or keep
    /// some after their end.
    #[test]
    fn no_order_of_events_grants_more_than_there_is(steps in prop::collection::vec((step(), 0_u64..400), 1..200)) {
        let mut memory = BodyMemory::new(SIZE);
        let mut open: Vec<BodyNumber> = Vec::new();
        let mut now = NOW;
        for (step, pause_ms) in steps {
            now = Timestamp(now.0 + pause_ms);
            let at = |index: usize| open.get(index % open.len().max(1)).copied();
            match step {
                Step::Begin { length } => {
                    if let Ok((number, granted)) = memory.begin(ByteCount(length), now) {
                        open.retain(|number| !granted.evicted.contains(number));
                        open.push(number);
                    }
                }
                Step::Grow { index, length } => if let Some(number) = at(index) {
                    let evicted = memory.grow(number, ByteCount(length), now).unwrap_or_default().evicted;
                    prop_assert!(!evicted.contains(&number));
                    open.retain(|number| !evicted.contains(number));
                },
                Step::Receive { index, received } => if let Some(number) = at(index) {
                    memory.record_received(number, ByteCount(received), now);
                },
                Step::Complete { index } => if let Some(number) = at(index) {
                    memory.complete(number);
                },
                Step::Release { index } => if let Some(number) = at(index) {
                    memory.release(number);
                    open.retain(|open| *open != number);
                },
            }
            prop_assert!(memory.used().0 <= SIZE.0);
        }
        for number in open {
            memory.release(number);
        }
        prop_assert_eq!(memory.used(), ByteCount(0));
    }
}
