#pragma once

/// The program itself. Expects the signals that processes handle to be blocked; see main.cpp.
extern "C" int lagoonrouterMain(int argc, char** argv);
