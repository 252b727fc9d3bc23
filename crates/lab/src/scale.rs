//! Slopes: how state, time and messages grow with the sizes of a deployment.

pub mod membership;
