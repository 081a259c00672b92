#!/usr/bin/env node
// npm links commands at installation, before the build, so the link's target is not built.
import '../dist/main.js';
