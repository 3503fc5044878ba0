//! The form of a chart file.

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

/// A whole chart file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ChartFile {
    pub(super) chart: String,
    pub(super) doc: String,
    pub(super) initial: String,
    pub(super) states: UniqueMap<StateEntry>,
}

/// One state and its answers to events.
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

/// One answer to an event; the first whose guard holds is taken.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct TransitionEntry {
    #[serde(default, rename = "if")]
    pub(super) guard: Option<String>,
    /// The state stays if none is named.
    #[serde(default)]
    pub(super) to: Option<String>,
    #[serde(default, rename = "do")]
    pub(super) actions: Vec<String>,
}

/// A JSON object in which no key stands twice.
///
/// JSON readers keep the last of two equal keys. A state with two answers to one
/// event would then silently lose the first, so such a file is refused.
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
                return Err(A::Error::custom(format!("{key:?} stands twice")));
            }
            map.insert(key, value);
        }
        Ok(UniqueMap(map))
    }
}
