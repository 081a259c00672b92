#!/usr/bin/env node
// npm links the command at installation, before the build, so this file cannot be a build output.
import '../dist/main.js';
