"""Tests of what holds back requests that crash workers."""
