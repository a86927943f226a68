//! The generic estimators, each on its own.

mod assertions;
mod averages;
mod budgets;
mod ratio_bands;
mod ring_arc;
mod sliding_window;
