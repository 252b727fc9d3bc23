//! The common sets of derived traits, so that kindred types behave alike.

/// Derives the traits of an owned value that is compared and printed.
#[macro_export]
macro_rules! value {
    ($($item:item)*) => { $( #[derive(Clone, Debug, PartialEq, Eq)] $item )* };
}

/// Derives the traits of a small copyable key that orders and hashes.
#[macro_export]
macro_rules! key {
    ($($item:item)*) => {
        $( #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)] $item )*
    };
}

/// Declares a checked name: a [`Label`](crate::name::Label) that cannot be mixed up with the
/// names of other things.
#[macro_export]
macro_rules! checked_name {
    ($(#[$meta:meta])* $vis:vis struct $name:ident;) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        $vis struct $name($crate::name::Label);

        impl $name {
            /// Borrows the name as text.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl TryFrom<&str> for $name {
            type Error = $crate::name::Error;

            fn try_from(raw: &str) -> Result<$name, $crate::name::Error> {
                $crate::name::Label::try_from(raw).map($name)
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(self.0.as_str())
            }
        }
    };
}
