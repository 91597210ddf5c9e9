#!/usr/bin/env node
import { runBinary } from "@gypsumstage/shared/runBinary";
import { startEntry } from "./startEntry.js";

runBinary("gypsumstage-entry", startEntry);
