//! The names of the users' pages, from the text file beside the sources.

/// Returns the name that `words.txt` gives for a key.
pub fn word(key: &str) -> &'static str {
    include_str!("../words.txt")
        .lines()
        .filter_map(|line| line.split_once(' '))
        .find(|(known, _)| *known == key)
        .map(|(_, word)| word)
        .unwrap_or_else(|| panic!("no word for {key}"))
}
