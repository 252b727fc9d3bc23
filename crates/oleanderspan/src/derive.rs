//! Macros that derive a common set of traits, so that similar types behave alike.

/// Derives the traits of an owned value type: `Clone`, `Debug` and equality.
#[macro_export]
macro_rules! value {
    ($($item:item)*) => { $( #[derive(Clone, Debug, PartialEq, Eq)] $item )* };
}

/// Derives the traits of a small `Copy` type that can be used as an ordered or hashed key.
#[macro_export]
macro_rules! key {
    ($($item:item)*) => {
        $( #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)] $item )*
    };
}

/// Declares a newtype of [`Label`](crate::name::Label), so that names of different kinds cannot
/// be confused.
#[macro_export]
macro_rules! checked_name {
    ($(#[$meta:meta])* $vis:vis struct $name:ident;) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        $vis struct $name($crate::name::Label);

        impl $name {
            /// The validated name as a string slice.
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
