package main

// OnChange is for tests.
var OnChange = onChange
