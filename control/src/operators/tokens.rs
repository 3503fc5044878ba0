//! The operators' tokens, which a file lists as `OPERATOR TOKEN`, one on each line.

use std::{
    collections::BTreeMap,
    fs,
    io,
    path::Path, //
};

use displaydoc::Display;
use sha2::{
    Digest,
    Sha256, //
};
use thiserror::Error;

/// The reason why a token file is refused.
#[derive(Debug, Display, Error)]
pub(crate) enum TokenError {
    /// cannot read the token file: {0}
    Read(io::Error),
    /// line {line} of the token file is not `OPERATOR TOKEN`
    Malformed {
        /// The line, counted from one.
        line: usize,
    },
    /// line {line} of the token file repeats a token
    Repeated {
        /// The line, counted from one.
        line: usize,
    },
    /// the token file names no operator
    Empty,
}

/// The accepted tokens and the operators to whom they belong.
///
/// Tokens are stored and compared as SHA-256 hashes: so the duration of a comparison reveals
/// nothing about a token, and a memory dump contains none.
#[derive(Debug)]
pub(crate) struct OperatorTokens {
    operators: BTreeMap<TokenHash, String>,
}

type TokenHash = [u8; 32];

fn hash_token(token: &str) -> TokenHash {
    Sha256::digest(token.as_bytes()).into()
}

impl OperatorTokens {
    /// Reads the token file; empty lines and lines that start with `#` are skipped.
    pub(crate) fn read(path: &Path) -> Result<Self, TokenError> {
        Self::parse(&fs::read_to_string(path).map_err(TokenError::Read)?)
    }

    fn parse(text: &str) -> Result<Self, TokenError> {
        let mut operators = BTreeMap::new();
        for (index, line) in text.lines().enumerate() {
            if line.trim().is_empty() || line.starts_with('#') {
                continue;
            }
            let line_number = index + 1;
            let mut words = line.split_whitespace();
            let (Some(operator), Some(token), None) = (words.next(), words.next(), words.next())
            else {
                return Err(TokenError::Malformed { line: line_number });
            };
            if operators
                .insert(hash_token(token), operator.to_owned())
                .is_some()
            {
                return Err(TokenError::Repeated { line: line_number });
            }
        }
        if operators.is_empty() {
            return Err(TokenError::Empty);
        }
        Ok(Self { operators })
    }

    /// Returns the operator to whom the token in an `Authorization` header belongs, if any.
    pub(crate) fn owner_of(&self, authorization: Option<&str>) -> Option<&str> {
        let (scheme, token) = authorization?.split_once(' ')?;
        if !scheme.eq_ignore_ascii_case("bearer") {
            return None;
        }
        let operator = self.operators.get(&hash_token(token.trim()));
        operator.map(String::as_str)
    }
}
