//! The JSON format of a chart file.

use std::{
    collections::BTreeMap,
    fmt,
    marker::PhantomData, //
};

use serde::{
    Deserialize, Deserializer,
    de::{
        Error as _,
        MapAccess,
        Visitor, //
    },
};

/// The content of a chart file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ChartFile {
    pub(super) chart: String,
    pub(super) doc: String,
    pub(super) initial: String,
    pub(super) states: UniqueMap<StateEntry>,
}

/// One state with the events that it handles or ignores.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct StateEntry {
    pub(super) doc: String,
    #[serde(default, rename = "final")]
    pub(super) is_final: bool,
    #[serde(default)]
    pub(super) on: UniqueMap<Vec<TransitionEntry>>,
    #[serde(default)]
    pub(super) ignore: Vec<String>,
}

/// One transition on an event; of several, the first whose guard holds is taken.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct TransitionEntry {
    #[serde(default, rename = "if")]
    pub(super) guard: Option<String>,
    /// The state that the transition leads to; `None` if the state stays the same.
    #[serde(default)]
    pub(super) to: Option<String>,
    #[serde(default, rename = "do")]
    pub(super) actions: Vec<String>,
}

/// A JSON object without duplicate keys.
///
/// JSON parsers keep the last of two equal keys. A state that lists an event twice would then
/// silently lose its first transitions, so a file with a duplicate key is refused.
#[derive(Debug)]
pub(super) struct UniqueMap<V>(pub(super) BTreeMap<String, V>);

impl<V> Default for UniqueMap<V> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<'de, V: Deserialize<'de>> Deserialize<'de> for UniqueMap<V> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(UniqueMapVisitor(PhantomData))
    }
}

struct UniqueMapVisitor<V>(PhantomData<V>);

impl<'de, V: Deserialize<'de>> Visitor<'de> for UniqueMapVisitor<V> {
    type Value = UniqueMap<V>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Self::Value, A::Error> {
        let mut map = BTreeMap::new();
        while let Some((key, value)) = access.next_entry::<String, V>()? {
            if map.contains_key(&key) {
                return Err(A::Error::custom(format!("duplicate key {key:?}")));
            }
            map.insert(key, value);
        }
        Ok(UniqueMap(map))
    }
}
