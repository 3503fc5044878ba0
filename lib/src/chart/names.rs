//! Enums whose variants have names in a chart file.

/// An enum of names in a chart: its states, events, guards or actions.
pub trait ChartName: Copy + Eq + Ord + 'static {
    /// All variants, in the order of declaration.
    const ALL: &'static [Self];

    /// Returns the variant's name in the chart file.
    fn name(self) -> &'static str;

    /// Returns the variant's index in [`Self::ALL`].
    fn index(self) -> usize;

    /// Returns the variant of this name, if there is one.
    fn from_name(name: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|known| known.name() == name)
    }
}

/// Declares an enum whose variants have names in a chart file.
macro_rules! chart_names {
    (
        $(#[$doc:meta])*
        $name:ident { $( $(#[$variant_doc:meta])* $variant:ident = $text:literal, )* }
    ) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum $name {
            $( $(#[$variant_doc])* $variant, )*
        }

        impl $crate::chart::ChartName for $name {
            const ALL: &'static [Self] = &[ $( $name::$variant, )* ];

            fn name(self) -> &'static str {
                match self {
                    $( $name::$variant => $text, )*
                }
            }

            fn index(self) -> usize {
                self as usize
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str($crate::chart::ChartName::name(*self))
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::chart::UnknownName;

            fn from_str(text: &str) -> Result<Self, $crate::chart::UnknownName> {
                let unknown = || $crate::chart::UnknownName { found: text.to_owned() };
                $crate::chart::ChartName::from_name(text).ok_or_else(unknown)
            }
        }
    };
}

pub(crate) use chart_names;
