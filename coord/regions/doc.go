// Package regions tells whether failure domains are in several regions.
//
//	regions.Several(map[string]string{"d1": "east", "d2": "west"}) // true
package regions
