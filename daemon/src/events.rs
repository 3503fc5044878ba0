//! Numbered log events.
//!
//! Each crate declares its events once, in its `src/events.rs`, and emits them
//! with typed fields:
//!
//! ```
//! cicadabend_daemon::events! {
//!     /// The daemon takes requests from callers.
//!     1101 Info Listening { address: std::net::SocketAddr } "listening for callers";
//!     /// The daemon has sent all answers and ends.
//!     1102 Info Drained {} "all running requests have ended";
//! }
//!
//! LogEvent::Listening { address: "127.0.0.1:80".parse().unwrap() }.emit();
//! LogEvent::Drained {}.emit();
//! assert_eq!(LogEvent::CATALOGUE[0].code(), "CB1101");
//! ```
//!
//! Field types need `Display`. The doc comment becomes the catalogue's explanation.

use log::Level;
pub use log::Record;

/// What is fixed about one event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventKind {
    /// The number, without `CB`.
    pub number: u16,
    /// The level it is always written at.
    pub level: Level,
    /// The variant's name.
    pub name: &'static str,
    /// The fixed text.
    pub text: &'static str,
    /// The names of its fields.
    pub fields: &'static [&'static str],
    /// What it means, one line of the doc comment each.
    pub explanation: &'static [&'static str],
}

impl EventKind {
    /// Returns the code that log lines carry.
    pub fn code(&self) -> String {
        format!("CB{:04}", self.number)
    }
}

/// Returns whether events of a level are written.
pub fn is_enabled(level: Level) -> bool {
    level <= log::max_level()
}

/// Gives a record to the program's logger.
pub fn log(record: &Record<'_>) {
    log::logger().log(record);
}

/// Gives the record of one event to `take`; [`events!`](crate::events!) calls this.
pub fn with_record(
    kind: &EventKind,
    fields: &[(&'static str, String)],
    take: &mut dyn FnMut(&Record<'_>),
) {
    let code = kind.code();
    take(
        &Record::builder()
            .target(&code)
            .level(kind.level)
            .args(format_args!("{}", kind.text))
            .key_values(&fields)
            .build(),
    );
}

/// Declares the closed set of a crate's log events as `enum LogEvent`.
#[macro_export]
macro_rules! events {
    ($(
        $(#[doc = $doc:literal])+
        $number:literal $level:ident $name:ident { $($field:ident: $type:ty),* $(,)? } $text:literal;
    )+) => {
        /// The log events of this crate.
        #[derive(Debug)]
        pub enum LogEvent {
            $(
                $(#[doc = $doc])+
                $name {
                    $(
                        #[doc = concat!("The field `", stringify!($field), "` of the log line.")]
                        $field: $type,
                    )*
                },
            )+
        }

        impl LogEvent {
            /// All events, in the order of their declaration.
            pub const CATALOGUE: &'static [$crate::events::EventKind] = &[$(
                $crate::events::EventKind {
                    number: $number,
                    level: $crate::events::level::$level,
                    name: stringify!($name),
                    text: $text,
                    fields: &[$(stringify!($field)),*],
                    explanation: &[$($doc),+],
                },
            )+];

            /// Writes the event to the log.
            pub fn emit(&self) {
                // Fields are made into text only if somebody will read it.
                let level = match self {
                    $(Self::$name { .. } => $crate::events::level::$level,)+
                };
                if $crate::events::is_enabled(level) {
                    self.with_record(&mut $crate::events::log);
                }
            }

            /// Gives the event's record to `take`.
            pub fn with_record(&self, take: &mut dyn FnMut(&$crate::events::Record<'_>)) {
                match self {
                    $(
                        Self::$name { $($field),* } => $crate::events::with_record(
                            &$crate::events::EventKind {
                                number: $number,
                                level: $crate::events::level::$level,
                                name: stringify!($name),
                                text: $text,
                                fields: &[$(stringify!($field)),*],
                                explanation: &[$($doc),+],
                            },
                            &[$((stringify!($field), $field.to_string())),*],
                            take,
                        ),
                    )+
                }
            }
        }
    };
}

/// The levels, by the names that declarations use.
pub mod level {
    use log::Level;

    /// Something is lost or will be; an operator has to act.
    #[expect(
        non_upper_case_globals,
        reason = "declarations name levels like variants"
    )]
    pub const Error: Level = Level::Error;
    /// Something unexpected that the system handles by itself.
    #[expect(
        non_upper_case_globals,
        reason = "declarations name levels like variants"
    )]
    pub const Warn: Level = Level::Warn;
    /// A change of state that an operator wants to see.
    #[expect(
        non_upper_case_globals,
        reason = "declarations name levels like variants"
    )]
    pub const Info: Level = Level::Info;
    /// Detail for a developer.
    #[expect(
        non_upper_case_globals,
        reason = "declarations name levels like variants"
    )]
    pub const Debug: Level = Level::Debug;
}
