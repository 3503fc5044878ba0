//! Any change to valid settings is either accepted or named by paths; nothing panics.

#![expect(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use cicadabend::fleet::FleetConfig;
use cicadabend_daemon::settings::{
    ControlSettings,
    EntrySettings,
    Settings,
    SettingsError,
    parse, //
};
use proptest::{
    prelude::*,
    test_runner::RngSeed, //
};
use serde_json::{
    Value,
    json, //
};

/// A place in a JSON value, by how many places come before it.
#[derive(Clone, Debug)]
struct Mutation {
    place: usize,
    change: Change,
}

#[derive(Clone, Debug)]
enum Change {
    Replace(Value),
    Remove,
    AddKey(String),
}

fn any_scalar() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        Just(json!([])),
        Just(json!({})),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        (0u64..3).prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "[a-z0-9.:`$ \\[\\]é]{0,12}".prop_map(Value::from),
        "127\\.0\\.0\\.1:[0-9]{1,4}".prop_map(Value::from),
    ]
}

fn any_mutation() -> impl Strategy<Value = Mutation> {
    let change = prop_oneof![
        4 => any_scalar().prop_map(Change::Replace),
        2 => Just(Change::Remove),
        1 => "[a-z_`.]{1,10}".prop_map(Change::AddKey),
    ];
    (0usize..200, change).prop_map(|(place, change)| Mutation { place, change })
}

fn count(value: &Value) -> usize {
    match value {
        Value::Object(object) => 1 + object.values().map(count).sum::<usize>(),
        Value::Array(array) => 1 + array.iter().map(count).sum::<usize>(),
        _ => 1,
    }
}

/// Applies a mutation to the place that comes `place` places after `value`.
fn mutate(value: &mut Value, mut place: usize, change: &Change) {
    if place == 0 {
        match (change, value) {
            (Change::Replace(new), value) => *value = new.clone(),
            (Change::Remove, Value::Array(array)) => array.clear(),
            (Change::Remove, Value::Object(object)) => object.clear(),
            (Change::Remove, value) => *value = Value::Null,
            (Change::AddKey(key), Value::Object(object)) => {
                object.insert(key.clone(), json!(1));
            }
            (Change::AddKey(_), _) => {}
        }
        return;
    }
    place -= 1;
    let children: Vec<&mut Value> = match value {
        Value::Object(object) => object.values_mut().collect(),
        Value::Array(array) => array.iter_mut().collect(),
        _ => Vec::new(),
    };
    for child in children {
        let size = count(child);
        if place < size {
            return mutate(child, place, change);
        }
        place -= size;
    }
}

fn check<S: Settings>(mutations: &[Mutation]) {
    let mut value: Value = serde_json::from_str(S::EXAMPLE).unwrap();
    for mutation in mutations {
        let place = mutation.place % count(&value);
        mutate(&mut value, place, &mutation.change);
    }

    match parse::<S>(&value.to_string()) {
        Ok(_) => {}
        Err(SettingsError::Invalid { count, list }) => {
            assert_eq!(count, list.0.len());
            assert!(count > 0);
            let mut seen = std::collections::BTreeSet::new();
            for problem in list.0 {
                assert!(!problem.path.is_empty(), "{problem:?} in {value}");
                assert!(!problem.allowed.is_empty(), "{problem:?} in {value}");
                assert!(seen.insert(problem.to_string()), "twice: {problem}");
            }
        }
        Err(other) => panic!("{other} in {value}"),
    }
}

/// The same cases in every run, so that CI gives the same verdict.
fn seeded() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x00c1_cada),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(seeded())]

    #[test]
    fn mutated_entry_settings(mutations in prop::collection::vec(any_mutation(), 1..6)) {
        check::<EntrySettings>(&mutations);
    }

    #[test]
    fn mutated_control_settings(mutations in prop::collection::vec(any_mutation(), 1..6)) {
        check::<ControlSettings>(&mutations);
    }

    #[test]
    fn mutated_intents(mutations in prop::collection::vec(any_mutation(), 1..6)) {
        check::<FleetConfig>(&mutations);
    }

    #[test]
    fn any_text_is_read_or_refused(text in "\\PC{0,60}") {
        let _ = parse::<EntrySettings>(&text);
    }
}
