//! Reading JSON text without losing a key that stands twice.
//!
//! Keeping the last of two equal keys, as JSON readers do, would silently drop
//! a team or a service that somebody copied and forgot to rename.

use std::{
    cell::RefCell,
    fmt, //
};

use serde::{
    Deserializer,
    de::{
        DeserializeSeed,
        MapAccess,
        SeqAccess,
        Visitor, //
    },
};
use serde_json::{
    Map,
    Number,
    Value, //
};

use super::Problem;

/// Returns the value of a text, and every key that stands twice in its object.
///
/// # Errors
///
/// Returns the reader's error, with line and column, if the text is not JSON.
pub(super) fn value(text: &str) -> Result<(Value, Vec<Problem>), serde_json::Error> {
    let problems = RefCell::default();
    let reader = Reader {
        path: "$",
        problems: &problems,
    };
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let value = reader.deserialize(&mut deserializer)?;
    deserializer.end()?;
    Ok((value, problems.into_inner()))
}

struct Reader<'r> {
    path: &'r str,
    problems: &'r RefCell<Vec<Problem>>,
}

impl<'de> DeserializeSeed<'de> for Reader<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Reader<'_> {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("JSON")
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(Number::from_f64(value).map_or(Value::Null, Value::Number))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Value, A::Error> {
        let mut array = Vec::new();
        loop {
            let path = format!("{}[{}]", self.path, array.len());
            let reader = Reader {
                path: &path,
                problems: self.problems,
            };
            match items.next_element_seed(reader)? {
                Some(item) => array.push(item),
                None => return Ok(Value::Array(array)),
            }
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut members: A) -> Result<Value, A::Error> {
        let mut object = Map::new();
        while let Some(key) = members.next_key::<String>()? {
            let path = format!("{}.{key}", self.path);
            let reader = Reader {
                path: &path,
                problems: self.problems,
            };
            let value = members.next_value_seed(reader)?;
            if object.insert(key, value).is_some() {
                self.problems.borrow_mut().push(Problem {
                    path,
                    found: String::new(),
                    allowed: "this key stands twice in its object".to_owned(),
                });
            }
        }
        Ok(Value::Object(object))
    }
}
