//! Which model the next group serves, and from which engines.

use std::collections::BTreeMap;

use cicadabend::{
    grouping::{
        FreeEngine,
        ModelStanding,
        next_group, //
    },
    prelude::*,
};

use crate::world::table;

fn engine(number: u8, domain: &str, staged: Option<&str>) -> FreeEngine {
    FreeEngine {
        id: format!("i-{number:03}").parse().unwrap(),
        address: ([10, 0, 0, number], 80).into(),
        fabric_domain: domain.parse().unwrap(),
        failure_domain: "z0".parse().unwrap(),
        staged: staged.iter().map(|model| model.parse().unwrap()).collect(),
        free_since: Timestamp(0),
    }
}

fn next(free: &[FreeEngine], may_load: bool) -> Option<(String, u32, Vec<String>)> {
    let table = table(&[("large", 4, 0.67), ("small", 2, 0.33)]);
    let traits = table.engine(&"llm".parse().unwrap()).unwrap();
    let standings: BTreeMap<ModelName, ModelStanding> = BTreeMap::new();
    let new = next_group(traits, &BTreeMap::new(), free, &standings, |_| may_load)?;
    let ids = new.members.iter().map(|member| member.id.to_string());
    Some((new.model.to_string(), new.loads, ids.collect()))
}

#[test]
fn a_group_never_spans_fabric_domains() {
    let free = [
        engine(1, "a", None),
        engine(2, "a", None),
        engine(3, "b", None),
        engine(4, "b", None),
    ];

    let (model, loads, members) = next(&free, true).unwrap();

    assert_eq!((model.as_str(), loads), ("small", 2));
    assert_eq!(members, ["i-001", "i-002"]);
}

#[test]
fn engines_that_have_the_weights_go_first() {
    let free = [
        engine(1, "a", None),
        engine(2, "a", Some("small")),
        engine(3, "a", Some("small")),
    ];

    let (model, loads, members) = next(&free, true).unwrap();

    assert_eq!((model.as_str(), loads), ("small", 0));
    assert_eq!(members, ["i-002", "i-003"]);
}

#[test]
fn nothing_is_formed_while_weights_may_not_be_loaded() {
    let free = [engine(1, "a", Some("large")), engine(2, "a", Some("large"))];

    assert_eq!(next(&free, false), None);
}
