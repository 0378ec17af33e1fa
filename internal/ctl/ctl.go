// Package ctl holds the commands of crocusgladectl, one file for each.
package ctl
