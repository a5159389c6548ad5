// Package view is what an entry VM knows of the system and how long it may act on it.
package view
