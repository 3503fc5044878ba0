//! The platform's words, which stand in `words.txt`: the project's code names none of them outside
//! `platform/` (`.ci/check-platform`). A text holds `@key@` in place of a word.

const WORDS: &str = include_str!("../words.txt");

fn pairs() -> impl Iterator<Item = (&'static str, &'static str)> {
    WORDS.lines().filter_map(|line| line.split_once('='))
}

/// Returns a text with the platform's words in place of their keys.
pub fn put(text: &str) -> String {
    let mut text = text.to_owned();
    for (key, word) in pairs() {
        let key = format!("@{key}@");
        if text.contains(&key) {
            text = text.replace(&key, word);
        }
    }
    text
}

/// Returns the name of a header as a reader of headers knows it.
pub fn header(key: &str) -> String {
    put(&format!("@{key}@")).to_ascii_lowercase()
}
